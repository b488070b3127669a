"""What parts tell one another: machines, waiting work, matrices, and what to make of it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from .. import wire
from . import stretch
from .holdings import PartWork
from .machines import Group, Machine, Need, need_of
from .members import Heartbeat, MachineNote, PartNote
from .rooms import (
    fits,
    group_ok,
    is_gang,
    share_of,
    times,
)
from .slice import Slice

if TYPE_CHECKING:
    from .split import Split

log = logging.getLogger("notes")


class Notes(Slice):
    """What parts tell one another: machines, waiting work, matrices, and what to make of it."""

    def __init__(self, split: Split) -> None:
        super().__init__(split)
        self.newest: dict[int, PartNote] = {}  # of every part, ours included
        self.noted_at: dict[int, float] = {}  # when a peer's note came
        self.debts: dict[int, list[tuple[float, float]]] = {}
        self.rooms: dict[int, dict[tuple[object, ...], int]] = {}  # see `room`
        self.zones: dict[int, dict[tuple[object, ...], dict[str, int]]] = {}  # see `Gangs`
        self.groups: dict[int, dict[Group, list[MachineNote]]] = {}  # see `groups_of`
        self.matrix_at = -1e9

    def take_beat(self, beat: Heartbeat) -> None:
        for note in beat.parts:
            owner = self.members.owner(note.part)
            if owner != beat.node:
                continue
            self._renewed(note.part)
            self.noted_at[note.part] = trio.current_time()
            old = self.newest.get(note.part)
            if not note.matrix and old is not None:
                note.matrix = old.matrix
            self.newest[note.part] = note

    def _renewed(self, part: int) -> None:
        """What was worked out from a part's last note is worth nothing any more."""
        self.rooms.pop(part, None)
        self.zones.pop(part, None)
        self.groups.pop(part, None)

    def groups_of(self, note: PartNote) -> dict[Group, list[MachineNote]]:
        """A note's machines by what decides whether a job may use them."""
        found = self.groups.get(note.part)
        if found is None:
            found = self.groups[note.part] = {}
            for machine in note.machines:
                found.setdefault((machine.type, machine.zone, machine.spot), []).append(machine)
        return found

    def refresh(self) -> float:
        """Renew our own notes, the matrices only once a period; the time that it took."""
        at = trio.current_time()
        now = trio.current_time()
        for part, rows in list(self.debts.items()):
            self.debts[part] = [r for r in rows if now - r[0] < self.policy.beat * 3]
            if not self.debts[part]:
                del self.debts[part]
        renew = now - self.matrix_at >= self.policy.period
        if renew:
            self.matrix_at = now
        beyond = set()
        if len(self.split.teams.known) > 1:
            beyond = {t for t in self.split.teams.known if self.split.teams.over_guarantee(t)}
        for part, work in self.split.parts.work.items():
            if renew:
                self._log_load(part, work)
            old = self.newest.get(part)
            machines = []
            kept: list[str] = []
            for machine in self.workers.of_part(part):
                free = machine.free() if machine.usable else (0.0, 0.0, 0.0)
                if machine.reserved and machine.reserved[1] >= now:
                    free = (0.0, 0.0, 0.0)
                a, b, c = machine.yielding[-1]
                if machine.reserved and machine.reserved[1] >= now:
                    kept.append(machine.name)
                machines.append(
                    MachineNote(
                        machine.name,
                        machine.type,
                        machine.zone,
                        machine.spot,
                        (max(0.0, free[0]), max(0.0, free[1]), max(0.0, free[2])),
                        (a, b, c),
                        len(machine.placements),
                        now - machine.idle_since,
                        self._flag(machine, now),
                        machine.slow,
                        self._over_on(machine, beyond),
                    )
                )
            waiting: dict[str, int] = {}
            queued = 0.0
            for id, h in work.holdings.items():
                if h.pool.count:
                    # What fails wherever it goes calls for no machines but one.
                    count = 1 if h.faulty and not h.gang else h.pool.count
                    waiting[id] = count
                    queued += count * self.split.estimates.task(h.spec) * h.need[0]
            hold = self.workers.parts.get(part)
            note = PartNote(
                part, hold.token if hold else 0, work.settled, queued, 0.0, machines, [], waiting
            )
            note.running = self.workers.running(part)
            note.kept = kept
            work.ready = {
                id
                for id in work.ready
                if (gang := work.holdings.get(id)) is not None and gang.job.record.attempt
            }
            note.ready = list(work.ready)
            note.reserved = [
                m.reserved[0]
                for m in self.workers.of_part(part)
                if m.reserved and m.reserved[1] >= now
            ]
            note.use = {
                t: self.split.teams.use(part, t)
                for t in self.split.teams.known
                if self.split.teams.limited(t)
            }
            if renew or old is None or not old.matrix:
                note.stretch = min((c.level for c in work.crowds.values()), default=0.0)
                for (type_, zone, spot), crowd in work.crowds.items():
                    queue = self.split.placing.queue(work, crowd, len(wire.RANKS))
                    note.matrix.append(
                        (
                            f"{type_}|{zone}|{int(spot)}",
                            stretch.matrix(
                                [queue],
                                self.split.stretches,
                                self.split.sizes,
                                self.split.tasks,
                                now,
                                len(crowd.machines),
                            ),
                        )
                    )
                self.debts.pop(part, None)
            else:
                note.matrix, note.stretch = old.matrix, old.stretch
            self.newest[part] = note
            self._renewed(part)
        self.split.teams.find_hungry()
        return trio.current_time() - at

    def _over_on(self, machine: Machine, beyond: set[str]) -> Need:
        """Held by teams beyond their guarantee, apart from what yields anyway."""
        a = b = c = 0.0
        if beyond:
            last = len(wire.RANKS) - 1
            for placement in machine.placements.values():
                if placement.team in beyond and placement.rank != last and not is_gang(placement):
                    x, y, z = placement.need
                    a, b, c = a + x, b + y, c + z
        return (a, b, c)

    def _log_load(self, part: int, work: PartWork) -> None:
        """What is free and what waits, for people who read logs."""
        rooms: dict[str, list[float]] = {}
        for machine in self.workers.of_part(part):
            if machine.usable and machine.kind is not None:
                free = machine.free()
                row = rooms.setdefault(f"{machine.type}{'*' if machine.spot else ''}", [0, 0, 0])
                row[0] += 1
                row[1] += free[0]
                row[2] += free[1]
        waits: dict[str, int] = {}
        for holding in work.holdings.values():
            if holding.pool.count:
                name = holding.job.spec.job_class
                waits[name] = waits.get(name, 0) + holding.pool.count
        text = " ".join(f"{t}:{int(n)}x,{c:g}c,{g:g}g" for t, (n, c, g) in sorted(rooms.items()))
        teams = " ".join(
            f"{t}:{self.split.teams.use(part, t)[0]:g}/{self.split.teams.share(part, t)[0]:g}"
            for t in self.split.teams.known
            if self.split.teams.limited(t)
        )
        log.info("load part=%d free=[%s] waiting=%s share=[%s]", part, text, waits, teams)

    def _flag(self, machine: Machine, now: float) -> str:
        if machine.lost:
            return "lost" if machine.confirmed else "unheard"
        if machine.notice_at is not None:
            return "notice"
        if machine.deaf:
            return "deaf"
        if machine.drain:
            return "drain"
        if machine.resting_until >= now:
            return "sick"
        return "" if machine.usable else "new"

    def own(self) -> list[PartNote]:
        return [self.newest[p] for p in self.split.parts.work if p in self.newest]

    def room(self, note: PartNote, spec: wire.JobSpec, *, yielding: bool) -> int:
        """How many tasks the part's machines could take now (or by preempting)."""
        need = need_of(spec)
        # Notes are renewed a few times a second, and asked about far more often.
        known = self.rooms.setdefault(note.part, {})
        key = (yielding, need, spec.types, spec.zone, spec.spot)
        found = known.get(key)
        if found is not None:
            return found
        total = 0
        for (type_, zone, spot), machines in self.groups_of(note).items():
            kind = self.types().get(type_)
            if kind is None or not group_ok(spec, kind, zone, spot):
                continue
            for machine in machines:
                if machine.flag:
                    continue
                room = machine.free
                if yielding:
                    a, b, c = machine.yielding
                    room = (room[0] + a, room[1] + b, room[2] + c)
                if fits(need, room):
                    total += times(need, room)
        known[key] = total
        return total

    def owe(self, part: int, spec: wire.JobSpec, count: int) -> None:
        """Lower a part's availability at once, before its next matrix shows it."""
        kinds = [
            k for k in self.types().values() if fits(need_of(spec), (k.cpus, k.gpus, k.memory))
        ]
        if kinds:
            share = min(share_of(need_of(spec), k) for k in kinds)
            work = count * self.split.estimates.task(spec) * share
            self.debts.setdefault(part, []).append((trio.current_time(), work))

    def running(self, id: str) -> int:
        """Tasks of a job running on machines that this node knows of, for display."""
        return sum(
            load.running
            for part in self.split.parts.work
            for jobs in self.workers.loads.get(part, {}).values()
            if (load := jobs.get(id)) is not None
        ) or sum(
            note.running.get(id, 0)
            for note in self.newest.values()
            if note.part not in self.split.parts.work
        )
