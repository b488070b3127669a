"""What parts tell one another: machines, waiting work, matrices, and what to make of it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from .. import wire
from . import stretch
from .capacity import (
    fits,
    group_ok,
    is_gang,
    share_of,
    times,
)
from .component import SchedulerComponent
from .holdings import PartWork
from .machines import Group, Machine, Need, need_of
from .messages import Heartbeat, MachineFlag, MachineStatus, PartStatus

if TYPE_CHECKING:
    from .split import Split

log = logging.getLogger("statuses")

NO_CAPACITY: Need = (0.0, 0.0, 0.0)


class PartStatuses(SchedulerComponent):
    """What parts tell one another: machines, waiting work, matrices, and what to make of it."""

    def __init__(self, split: Split) -> None:
        super().__init__(split)
        self.newest: dict[int, PartStatus] = {}  # of every part, ours included
        self.received_at: dict[int, float] = {}  # when a peer's status came
        self.unreported: dict[int, list[tuple[float, float]]] = {}
        self.capacities: dict[int, dict[tuple[object, ...], int]] = {}  # see `free_capacity`
        self.zones: dict[int, dict[tuple[object, ...], dict[str, int]]] = {}  # see `Gangs`
        self.groups: dict[int, dict[Group, list[MachineStatus]]] = {}  # see `groups_of`
        self.matrix_at = -1e9

    def take_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take in what a peer tells of the parts that it owns."""
        for status in heartbeat.parts:
            owner = self.members.owner(status.part)
            if owner != heartbeat.node:
                continue
            self._renewed(status.part)
            self.received_at[status.part] = trio.current_time()
            old = self.newest.get(status.part)
            if not status.matrix and old is not None:
                status.matrix = old.matrix
            self.newest[status.part] = status

    def _renewed(self, part: int) -> None:
        """What was worked out from a part's last status is worth nothing any more."""
        self.capacities.pop(part, None)
        self.zones.pop(part, None)
        self.groups.pop(part, None)

    def groups_of(self, status: PartStatus) -> dict[Group, list[MachineStatus]]:
        """A status's machines by what decides whether a job may use them."""
        found = self.groups.get(status.part)
        if found is None:
            found = self.groups[status.part] = {}
            for machine in status.machines:
                found.setdefault((machine.type, machine.zone, machine.spot), []).append(machine)
        return found

    def refresh(self) -> float:
        """Renew our own statuses, the matrices only once a period; the time that it took."""
        now = trio.current_time()
        self._forget_old_allocations(now)
        renew = now - self.matrix_at >= self.policy.period
        if renew:
            self.matrix_at = now
        beyond: set[str] = set()
        if len(self.split.teams.known) > 1:
            beyond = {t for t in self.split.teams.known if self.split.teams.over_guarantee(t)}
        for part, work in self.split.parts.work.items():
            if renew:
                self._log_load(part, work)
            self._refresh_part(part, work, beyond, renew, now)
        self.split.teams.find_waiting_for_limit()
        return trio.current_time() - now

    def _forget_old_allocations(self, now: float) -> None:
        """After a few heartbeats a part's own status shows what it was sent."""
        limit = self.policy.heartbeat_interval * 3
        for part, rows in list(self.unreported.items()):
            self.unreported[part] = [r for r in rows if now - r[0] < limit]
            if not self.unreported[part]:
                del self.unreported[part]

    def _refresh_part(
        self, part: int, work: PartWork, beyond: set[str], renew: bool, now: float
    ) -> None:
        old = self.newest.get(part)
        kept = [m for m in self.workers.of_part(part) if m.reserved and m.reserved[1] >= now]
        machines = [self._machine(m, beyond, now) for m in self.workers.of_part(part)]
        waiting, queued = self._waiting(work)
        hold = self.workers.parts.get(part)
        status = PartStatus(
            part, hold.token if hold else 0, work.settled, queued, 0.0, machines, [], waiting
        )
        status.running = self.workers.placements.running(part)
        status.kept = [machine.name for machine in kept]
        status.reserved = [machine.reserved[0] for machine in kept if machine.reserved]
        work.ready = {
            id
            for id in work.ready
            if (gang := work.holdings.get(id)) is not None and gang.job.record.attempt
        }
        status.ready = list(work.ready)
        status.use = {
            t: self.split.teams.use(part, t)
            for t in self.split.teams.known
            if self.split.teams.limited(t)
        }
        if renew or old is None or not old.matrix:
            status.stretch = min((g.level for g in work.machine_groups.values()), default=0.0)
            status.matrix = self._matrices(work, now)
            self.unreported.pop(part, None)
        else:
            status.matrix, status.stretch = old.matrix, old.stretch
        self.newest[part] = status
        self._renewed(part)

    def _machine(self, machine: Machine, beyond: set[str], now: float) -> MachineStatus:
        free = machine.free() if machine.usable else NO_CAPACITY
        if machine.reserved and machine.reserved[1] >= now:
            free = NO_CAPACITY
        a, b, c = machine.yielding[-1]
        return MachineStatus(
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

    def _waiting(self, work: PartWork) -> tuple[dict[str, int], float]:
        """Tasks not started by job, and how much work that is."""
        waiting: dict[str, int] = {}
        queued = 0.0
        for id, holding in work.holdings.items():
            if not holding.pool.count:
                continue
            # What fails wherever it goes calls for no machines but one.
            count = 1 if holding.faulty and not holding.gang else holding.pool.count
            waiting[id] = count
            queued += count * self.split.estimates.task(holding.spec) * holding.need[0]
        return waiting, queued

    def _matrices(self, work: PartWork, now: float) -> list[tuple[str, list[list[list[int]]]]]:
        """The paper's availability matrices, one for each group of like machines."""
        out = []
        for (type_, zone, spot), group in work.machine_groups.items():
            queue = self.split.placing.queue(work, group, len(wire.RANKS))
            cells = stretch.matrix(
                [queue],
                self.split.stretches,
                self.split.sizes,
                self.split.tasks,
                now,
                group.width,
            )
            out.append((f"{type_}|{zone}|{int(spot)}", cells))
        return out

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

    def _flag(self, machine: Machine, now: float) -> MachineFlag:
        if machine.lost:
            return MachineFlag.LOST if machine.confirmed else MachineFlag.UNHEARD
        if machine.notice_at is not None:
            return MachineFlag.NOTICE
        if machine.unresponsive:
            return MachineFlag.UNRESPONSIVE
        if machine.drain:
            return MachineFlag.DRAINING
        if machine.resting_until >= now:
            return MachineFlag.UNHEALTHY
        return MachineFlag.USABLE if machine.usable else MachineFlag.NEW

    def own(self) -> list[PartStatus]:
        """What this node tells of its own parts."""
        return [self.newest[p] for p in self.split.parts.work if p in self.newest]

    def free_capacity(self, status: PartStatus, spec: wire.JobSpec, *, yielding: bool) -> int:
        """How many tasks the part's machines could take now (or by preempting)."""
        need = need_of(spec)
        # PartStatuses are renewed a few times a second, and asked about far more often.
        known = self.capacities.setdefault(status.part, {})
        key = (yielding, need, spec.types, spec.zone, spec.spot)
        found = known.get(key)
        if found is not None:
            return found
        total = 0
        for (type_, zone, spot), machines in self.groups_of(status).items():
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

    def record_allocation(self, part: int, spec: wire.JobSpec, count: int) -> None:
        """Lower a part's availability at once, before its next matrix shows it."""
        kinds = [
            k for k in self.types().values() if fits(need_of(spec), (k.cpus, k.gpus, k.memory))
        ]
        if kinds:
            share = min(share_of(need_of(spec), k) for k in kinds)
            work = count * self.split.estimates.task(spec) * share
            self.unreported.setdefault(part, []).append((trio.current_time(), work))

    def running(self, id: str) -> int:
        """Tasks of a job running on machines that this node knows of, for display."""
        return sum(
            load.running
            for part in self.split.parts.work
            for jobs in self.workers.placements.loads.get(part, {}).values()
            if (load := jobs.get(id)) is not None
        ) or sum(
            status.running.get(id, 0)
            for status in self.newest.values()
            if status.part not in self.split.parts.work
        )
