"""Gangs, and other jobs that stay whole: planned over parts, kept room, started at once."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from .. import wire
from ..store import StoreDown
from .capacity import (
    CapacitySource,
    Plan,
    covered,
    fits,
    group_ok,
    plan_gang,
    times,
    whole,
)
from .component import SchedulerComponent
from .holdings import Holding, PartWork
from .jobs import Bits, Job, TaskRange, merge
from .machines import Machine, Need, need_of
from .messages import MachineFlag, PartStatus

if TYPE_CHECKING:
    from .split import Split

log = logging.getLogger("gangs")

# Pieces that a job's record may fall into: it has to fit into one value of the store.
RANGES = 40
# Machines that are expected to be of use again, whether they are heard or not.
# Sources that take preemption.
BY_PREEMPTION = (CapacitySource.YIELDING, CapacitySource.OVER_GUARANTEE)
UP_FLAGS = frozenset({MachineFlag.USABLE, MachineFlag.LOST, MachineFlag.UNHEARD})


class Opening(NamedTuple):
    """When a machine has room for its n-th task of a job."""

    eta: float  # seconds from now
    name: str
    n: int
    machine: Machine


class Gangs(SchedulerComponent):
    """Gangs, and other jobs that stay whole: planned over parts, kept room, started at once."""

    def __init__(self, split: Split) -> None:
        super().__init__(split)
        self.counter = 0
        self.keeping: tuple[str, float] | None = None  # the gang that waits for kept room
        # Room promised to gangs that statuses can't show yet: (at, (part, zone), need, tasks).
        self.booked: list[tuple[float, tuple[int, str], Need, int]] = []

    def start(self, work: PartWork, part: int) -> None:
        """Place the gangs of a part that find all their room now."""
        if not work.gangs:
            return
        now = trio.current_time()
        rows = []
        for id, holding in work.gangs.items():
            job = holding.job
            if holding.placed or not self.split.parts.ready(work, id, holding, now):
                continue
            if job.finished.count or job.local:
                # One done means all done: what was lost with its machine has its result
                # kept, and ends as soon as it is started again.
                pass
            elif job.record.attempt:
                if holding.tried == job.record.attempt or not covered(job):
                    continue
            elif holding.pool.count < job.spec.tasks - job.finished.count - len(job.local):
                continue
            rows.append((*self.split.order.key(holding, self.split.stretches[-1]), id))
        for _, _, _, id in sorted(rows):
            holding = work.holdings[id]
            plan = self._machines(holding, part, now)
            if plan is None:
                work.ready.discard(id)
                continue
            job = holding.job
            shared = job.record.attempt
            if job.finished.count or job.local:
                shared = 0
            if shared and not self._all_ready(work, holding, plan, now):
                continue
            attempt = shared or self.split.placing.attempt(part)
            holding.tried = attempt
            for machine in plan:
                self.split.placing.place(holding, holding.pool.pop(), machine, attempt)
                if machine.reserved and machine.reserved[0] == id:
                    machine.reserved = None
            holding.aged = False

    def _all_ready(self, work: PartWork, holding: Holding, plan: list[Machine], now: float) -> bool:
        """Whether every part of a gang has its room; ours is kept until then.

        Started part by part, a gang would occupy machines while the rest of it waits
        for room, and end as incomplete. A part that isn't heard of late can't tell.
        """
        id, part = holding.job.id, holding.part
        work.ready.add(id)
        fresh = now - self.policy.heartbeat_interval * 4
        for other in {p for _, _, p in holding.job.record.ranges if p != part}:
            theirs = self.split.parts.work.get(other)
            if theirs is not None:
                ready = id in theirs.ready
            elif (
                self.split.statuses.received_at.get(other, -1e9) < fresh
                or other not in self.split.statuses.newest
            ):
                ready = True
            else:
                ready = id in self.split.statuses.newest[other].ready
            if not ready:
                for machine in plan:
                    machine.reserved = (id, now + self.policy.heartbeat_interval * 4)
                return False
        return True

    def _machines(self, holding: Holding, part: int, now: float) -> list[Machine] | None:
        """A machine for every task at once, in one zone where that is asked; or None."""
        job = holding.job
        spec = job.spec
        need = need_of(spec)
        wanted = holding.pool.count
        if self.split.teams.tasks_within_limit(part, spec) < wanted:
            return None
        machines = []
        for machine in self.workers.of_part(part):
            if not machine.usable or machine.resting_until >= now:
                continue
            if machine.reserved and machine.reserved[0] != job.id and machine.reserved[1] >= now:
                continue
            if fits(need, machine.free()) and self.split.parts.machine_ok(holding, machine):
                machines.append((machine, times(need, machine.free())))
        # The least other use first: a machine with cards is left for work that needs them.
        machines.sort(
            key=lambda mc: (
                not (mc[0].reserved and mc[0].reserved[0] == job.id),
                mc[0].errors,
                self._waste(need, mc[0]),
                spec.image not in mc[0].images,
                mc[0].slow,
            )
        )
        caps = {zone: cap for p, zone, cap in job.record.caps if p == part}
        limit = (spec.tasks + 1) // 2 if spec.spread and spec.tasks > 1 else wanted
        plan: list[Machine] = []
        zones: dict[str, int] = {}
        for machine, count in machines:
            most = caps.get(machine.zone, 0) if job.record.caps else limit
            for _ in range(count):
                if len(plan) == wanted or zones.get(machine.zone, 0) >= most:
                    break
                zones[machine.zone] = zones.get(machine.zone, 0) + 1
                plan.append(machine)
        return plan if len(plan) == wanted else None

    def _waste(self, need: Need, machine: Machine) -> float:
        """What the task would leave unused that others may need: cards most of all."""
        kind = machine.kind
        assert kind is not None
        price = (kind.spot_price or kind.price) if machine.spot else kind.price
        return price * (1.0 if kind.gpus and not need[1] else 0.0)

    def reserve(self, part: int) -> None:
        """Keep the machines that soonest have room free for a gang that waits.

        Arrays take room task by task as it frees up; a gang of equal rank would wait
        until they run dry. One gang at a time, unless one machine holds it whole, and
        none whose room is far off: machines that drain bring nothing meanwhile.
        """
        work = self.split.parts.work[part]
        now = trio.current_time()
        machines = [m for m in self.workers.of_part(part) if m.usable and m.resting_until < now]
        kept = {m.reserved[0] for m in machines if m.reserved and m.reserved[1] >= now}
        held = [h for id in kept if (h := work.holdings.get(id)) is not None]
        wide = any(h.gang and h.spec.tasks > 1 for h in held)
        large = any(not h.gang and h.aged for h in held)
        # Also for a task so large that small ones always take what frees up first.
        waiting = [(h.release, id, h) for id, h in work.holdings.items() if h.gang or h.aged]
        for _, id, holding in sorted(waiting, key=lambda r: r[:2]):
            if id in kept or not self._may_reserve(work, holding, now):
                continue
            wanted = holding.pool.count if holding.gang else 1
            if wanted > 1 and (wide or not self.split.order.late(holding.job)):
                continue
            if not holding.gang and (
                large or not self.split.teams.tasks_within_limit(part, holding.spec)
            ):
                continue  # in a flood beyond the limit every array has waited long
            chosen = self._soonest(holding, machines, wanted, now)
            if not chosen or chosen[-1].eta <= 0:
                continue
            eta = chosen[-1].eta
            if wanted > 1:
                if eta > self.policy.start_within / 8:
                    continue
                if self.split.teams.tasks_within_limit(part, holding.spec) < wanted:
                    continue  # its team's limit is what it waits for
                wide = True
            large = large or not holding.gang
            names = {opening.machine.name: opening.machine for opening in chosen}
            for machine in names.values():
                machine.reserved = (id, now + eta * 1.5 + self.report_s * 3)
            log.info("kept machines=%d for=%s eta=%.1f", len(names), id, eta)

    def _may_reserve(self, work: PartWork, holding: Holding, now: float) -> bool:
        """Whether room may be kept for a job: it waits, and has done so for a report."""
        attempt = holding.job.record.attempt
        if holding.placed or (attempt and holding.tried == attempt):
            return False
        if now - holding.since < self.report_s:
            return False
        return self.split.parts.ready(work, holding.job.id, holding, now)

    def _soonest(
        self, holding: Holding, machines: list[Machine], wanted: int, now: float
    ) -> list[Opening]:
        """Where that many tasks find room soonest; nothing if there is none for all."""
        a, b, c = holding.need
        openings = []
        for machine in machines:
            if machine.reserved and machine.reserved[1] >= now:
                continue
            if not self.split.parts.machine_ok(holding, machine):
                continue
            for n in range(1, wanted + 1):
                eta = self._room_at(machine, (a * n, b * n, c * n), now)
                if eta is None:
                    break
                openings.append(Opening(eta, machine.name, n, machine))
        chosen = sorted(openings, key=lambda opening: opening[:3])[:wanted]
        return chosen if len(chosen) == wanted else []

    def _room_at(self, machine: Machine, need: Need, now: float) -> float | None:
        """Seconds until a machine has room for a need if nothing more starts there."""
        room = machine.free()
        if fits(need, room):
            return 0.0
        ends = []
        for placement in machine.placements.values():
            ran = now - (placement.run_at or now)
            ends.append((max(1.0, self.split.estimates.task(placement.spec) - ran), placement.need))
        for end, (a, b, c) in sorted(ends):
            room = (room[0] + a, room[1] + b, room[2] + c)
            if fits(need, room):
                return end
        return None

    def kept_for(self, part: int, id: str) -> bool:
        """Whether a machine of the part is kept free for the job."""
        now = trio.current_time()
        return any(
            m.reserved and m.reserved[0] == id and m.reserved[1] >= now
            for m in self.workers.of_part(part)
        )

    def plan(self, spec: wire.JobSpec, token: int, job: Job | None = None) -> Plan | None:
        """Room for a whole gang: in one part if one has it, else over several.

        Over several parts all start the same attempt; its number rests on a token of
        this node, so nobody else ever uses it.
        """
        if self.split.teams.limit_left(spec) < spec.tasks:
            return None
        now = trio.current_time()
        self.booked = [
            row for row in self.booked if now - row[0] < self.policy.heartbeat_interval * 3
        ]
        under = self.split.teams.under(spec)
        sources = [CapacitySource.FREE]
        if spec.rank != wire.RANKS[-1]:
            sources.append(CapacitySource.YIELDING)
        if under and len(self.split.teams.known) > 1:
            sources.append(CapacitySource.OVER_GUARANTEE)
        if job is not None and self.split.order.late(job) and self._may_keep(job.id, now):
            sources.append(CapacitySource.KEPT)
        for source in sources:
            rooms = self._free_capacity(spec, source)
            found = plan_gang(rooms, spec.tasks, one_zone=spec.one_zone, spread=spec.spread)
            if found is None:
                continue
            for key, count in found.items():
                self.booked.append((now, key, need_of(spec), count))
            parts = sorted({part for part, _ in found})
            ranges, first = [], 0
            for part in parts:
                n = sum(count for (p, _), count in found.items() if p == part)
                ranges.append(TaskRange(first, first + n, part))
                first += n
            attempt = 0
            if len(parts) > 1:
                self.counter += 1
                attempt = (token << 24) + (1 << 23) + self.counter
            if source is CapacitySource.KEPT:
                self.keeping = (spec.id, now)
            zones = {zone for _, zone in found}
            log.info(
                "gang planned job=%s parts=%d attempt=%d source=%s",
                spec.id,
                len(parts),
                attempt,
                source.name,
            )
            return Plan(
                ranges,
                zones.pop() if spec.one_zone else None,
                attempt,
                [(p, zone, n) for (p, zone), n in found.items()]
                if spec.spread and len(parts) > 1
                else [],
            )
        return None

    def _may_keep(self, id: str, now: float) -> bool:
        """Room is kept for one gang at a time: two could each hold half of the other's."""
        if self.keeping is None or self.keeping[0] == id:
            return True
        job = self.job_store.open.get(self.keeping[0])
        waits = job is not None and not any(
            job.id in n.running for n in self.split.statuses.newest.values()
        )
        return not waits or now - self.keeping[1] > self.policy.start_within / 4

    def _by_capacity(self, spec: wire.JobSpec) -> Plan | None:
        """The part whose machines, were they empty, hold the gang best: it keeps room."""
        plan = self.plan_whole(spec)
        if plan is not None:
            _, _, part = plan.ranges[0]
            log.info("gang waits for room job=%s part=%d zone=%s", spec.id, part, plan.zone)
        return plan

    def _free_capacity(
        self, spec: wire.JobSpec, source: CapacitySource
    ) -> dict[tuple[int, str], int]:
        """Tasks that each part could start in each zone, less what was booked just now."""
        need = need_of(spec)
        rooms: dict[tuple[int, str], int] = {}
        for status in self.split.statuses.newest.values():
            for zone, count in self._free_capacity_in(status, spec, source).items():
                rooms[(status.part, zone)] = count
        for _, key, (a, b, c), count in self.booked:
            if key in rooms:
                share = max((x / y for x, y in zip((a, b, c), need, strict=True) if y), default=0)
                rooms[key] = max(0, rooms[key] - math.ceil(count * min(1.0, share)))
        return rooms

    def _free_capacity_in(
        self, status: PartStatus, spec: wire.JobSpec, source: CapacitySource
    ) -> dict[str, int]:
        """Tasks that a part could start in each zone; worked out once a status and shape.

        The leader plans every gang that waits, several times a second.
        """
        need = need_of(spec)
        known = self.split.statuses.zones.setdefault(status.part, {})
        key = (source, need, spec.types, spec.zone, spec.spot)
        found = known.get(key)
        if found is not None:
            return found
        found = known[key] = {}
        for (type_, zone, spot), machines in self.split.statuses.groups_of(status).items():
            kind = self.types().get(type_)
            if kind is None or not group_ok(spec, kind, zone, spot):
                continue
            total = 0
            for machine in machines:
                if machine.flag:
                    continue
                a, b, c = machine.free
                if source is CapacitySource.KEPT and machine.name not in status.kept:
                    a, b, c = kind.cpus, kind.gpus, kind.memory
                elif source in BY_PREEMPTION and machine.name not in status.kept:
                    x, y, z = machine.yielding
                    a, b, c = a + x, b + y, c + z
                    if source is CapacitySource.OVER_GUARANTEE:
                        x, y, z = machine.over
                        a, b, c = a + x, b + y, c + z
                if fits(need, (a, b, c)):
                    total += times(need, (a, b, c))
            if total:
                found[zone] = found.get(zone, 0) + total
        return found

    async def assign(self, job: Job, token: int) -> None:
        """A job whose tasks constrain one another: to one part, or reserved over several."""
        spec = job.spec
        plan: Plan | None = None
        if spec.kind == wire.GANG:
            plan = self.plan(spec, token, job)
            if plan is None and spec.tasks == 1 and self.split.teams.limit_left(spec):
                # It needs one machine, and that can be kept for it.
                plan = self._by_capacity(spec)
        else:
            plan = self.plan_whole(spec)
        if plan is not None:
            await self.split.write_ranges(
                job,
                {"pt/parts/0": token},
                plan.ranges,
                zone=plan.zone,
                attempt=plan.attempt,
                caps=plan.caps,
            )

    def plan_whole(self, spec: wire.JobSpec) -> Plan | None:
        """The part, and the zone if it needs one, for an array that stays whole."""
        best = self.best_part(spec)
        if best is None:
            return None
        ranges = [TaskRange(0, spec.tasks, best)]
        zone = self.pick_zone(spec, ranges)
        if zone is None and spec.one_zone and spec.tasks > 1:
            return None
        return Plan(ranges, zone)

    async def give_back(self) -> None:
        """Whole jobs that can't start here go back to the leader, for a fresh look."""
        for part, work in list(self.split.parts.work.items()):
            token = self.members.token(part)
            if not work.settled or token is None:
                continue
            for holding in list(work.holdings.values()):
                job = holding.job
                if not job.open or not whole(job.spec) or holding.moving:
                    continue
                if holding.placed:
                    self._stop_if_incomplete(holding)
                elif holding.pool.count and self._gives_up(work, holding):
                    await self._give_back(work, holding, token)

    def _stop_if_incomplete(self, holding: Holding) -> None:
        """Stop the tasks of an attempt that another part has given up."""
        job = holding.job
        begun = bool(job.finished.count or job.local)
        if job.record.attempt and not covered(job) and not begun:
            for placement in list(holding.placed.values()):
                self.workers.stop(placement, job.spec.save)

    def _gives_up(self, work: PartWork, holding: Holding) -> bool:
        """Whether a job has waited here in vain, or its attempt has failed."""
        job = holding.job
        begun = bool(job.finished.count or job.local)
        attempt = job.record.attempt
        if not begun and attempt and (holding.tried == attempt or not covered(job)):
            return True
        patience = self.settings.deployment.workers.gang_wait_s / 2
        if self.kept_for(holding.part, job.id):
            patience *= 4
        elif (
            holding.gang
            and not begun
            and not self.split.order.late(job)
            and job.id not in work.ready
            and self.split.teams.limit_left(job.spec) >= job.spec.tasks
        ):
            # What it was planned on went to others: look elsewhere at once.
            patience = self.report_s * 2
        return trio.current_time() - holding.since >= patience

    def _without(self, job: Job, part: int) -> list[TaskRange] | None:
        """A job's ranges once a part has given its rest back; None if that must wait."""
        # What is done stays with the part that did it.
        rest = merge(
            (a, b, p)
            for first, end, p in job.record.ranges
            for a, b in (
                [(first, end)]
                if p != part
                else [(t, t + 1) for t in range(first, end) if job.is_finished(t)]
            )
        )
        if len(rest) <= RANGES:
            return rest
        # Too many pieces for a record: all of it goes, once what is done is durable.
        if job.local:
            return None
        return [r for r in job.record.ranges if r.part != part]

    async def _give_back(self, work: PartWork, holding: Holding, token: int) -> None:
        job, part = holding.job, holding.part
        rest = self._without(job, part)
        if rest is None:
            return
        holding.since = trio.current_time()
        holding.moving = True
        version = job.version
        work.ready.discard(job.id)
        try:
            await self.split.write_ranges(
                job,
                {f"pt/parts/{part}": token},
                rest,
                zone=job.record.zone if self._goes_on(job, rest) else None,
            )
        except StoreDown as error:
            await self.split.settle_job(error, job, version, part, token)
        finally:
            holding.moving = False
            if job.open:
                self.split.parts.hold(job, part)
                holding.rebuild()

    @staticmethod
    def _goes_on(job: Job, ranges: list[TaskRange]) -> bool:
        """Whether a task in these ranges may be on a machine, or be started by its part."""
        return any(not job.is_finished(t) for a, b, _ in ranges for t in range(a, b))

    async def assign_rest(self, job: Job, token: int) -> None:
        """What a part gave back of a whole job after other tasks of it were done.

        One task of a gang done means that all are: the rest ends as soon as it starts
        somewhere. Of an array bound to one zone, or spread, the rest goes where there is
        room, in another zone too: nothing of the job is anywhere else by now.
        """
        if self._goes_on(job, job.record.ranges):
            return
        done = Bits(job.record.tasks)
        for first, end, _ in job.record.ranges:
            for task in range(first, end):
                done.add(task)
        left = merge((t, t + 1, 0) for t in range(job.record.tasks) if t not in done)
        count = sum(r.tasks for r in left)
        rest = msgspec.structs.replace(job.spec, tasks=count)
        best = self.best_part(rest)
        if best is None:
            return
        zone = self.pick_zone(rest, [TaskRange(0, count, best)], bound=job.spec.tasks > 1)
        if zone is None and job.spec.one_zone:
            return
        log.info("rest of a job assigned job=%s tasks=%d part=%d", job.id, count, best)
        await self.split.write_ranges(
            job,
            {"pt/parts/0": token},
            merge([*job.record.ranges, *((a, b, best) for a, b, _ in left)]),
            zone=zone,
            attempt=0,
            caps=[],
        )

    def pick_zone(
        self, spec: wire.JobSpec, ranges: list[TaskRange], *, bound: bool | None = None
    ) -> str | None:
        """The zone for a one-zone job of several tasks, fixed before its first start."""
        if not spec.one_zone or not (spec.tasks > 1 if bound is None else bound):
            return None
        if spec.zone is not None:
            return spec.zone
        parts = {p for _, _, p in ranges}
        rooms: dict[str, tuple[float, float]] = {}
        for status in self.split.statuses.newest.values():
            if parts and status.part not in parts:
                continue
            for machine in status.machines:
                kind = self.types().get(machine.type)
                if kind is None or machine.flag not in UP_FLAGS | {MachineFlag.NEW}:
                    continue
                if not group_ok(spec, kind, machine.zone, machine.spot):
                    continue
                now, ever = rooms.get(machine.zone, (0.0, 0.0))
                rooms[machine.zone] = (
                    now + times(need_of(spec), machine.free),
                    ever + times(need_of(spec), (kind.cpus, kind.gpus, kind.memory)),
                )
        wanted = spec.tasks if spec.kind == wire.GANG else 1
        best = max(
            rooms.items(),
            default=None,
            key=lambda r: (r[1][0] >= wanted, r[1][1] >= wanted, r[1][0], r[1][1]),
        )
        return best[0] if best is not None and best[1][1] >= wanted else None

    def best_part(self, spec: wire.JobSpec) -> int | None:
        """For a job that stays whole: the part with room now, else the likeliest."""
        rows = []
        for status in self.split.statuses.newest.values():
            able = sum(
                times(need_of(spec), (k.cpus, k.gpus, k.memory))
                for m in status.machines
                if m.flag in UP_FLAGS
                and (k := self.types().get(m.type)) is not None
                and group_ok(spec, k, m.zone, m.spot)
            )
            if able < (spec.tasks if spec.kind == wire.GANG else 1):
                continue
            queued = sum(
                count * self.split.rebalancing.share_ratio(spec, id)
                for id, count in status.waiting.items()
            )
            owed = sum(1 for at, _ in self.split.statuses.unreported.get(status.part, ()))
            now = self.split.statuses.free_capacity(status, spec, yielding=False) - owed
            soon = self.split.statuses.free_capacity(status, spec, yielding=True) - owed
            rows.append((now < spec.tasks, soon < spec.tasks, queued / able, status.part))
        if not rows:
            return None
        best = min(rows)[3]
        self.split.statuses.record_allocation(best, spec, spec.tasks)
        return best
