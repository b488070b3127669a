"""Gangs, and other jobs that stay whole, planned over all shards from their statuses."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable

import msgspec
import trio

from ...jobs.index import Job
from ...jobs.job_record import TaskRange, ZoneCap, merge
from ...jobs.resources import Resources, capacity_of, count_fitting, fits, resource_request
from ...jobs.task_bitmap import TaskBitmap
from ...membership.messages import MachineFlag, ShardStatus
from ...membership.shards import CLUSTER_LEADER_SHARD
from ...protocol import user_api
from ...state_store import keys
from ..capacity import (
    CapacitySource,
    Plan,
    ShardZone,
    allows_machine_type,
    may_be_active,
    plan_gang,
    share_ratio,
)
from ..context import SchedulingContext
from ..quotas.quotas import Quotas
from ..range_writer import RangeWriter
from ..shards.deadlines import Deadlines
from ..shards.shard_statuses import ShardStatuses

log = logging.getLogger("gang_planner")

# Sources that take preemption.
BY_PREEMPTION = (CapacitySource.PREEMPTIBLE, CapacitySource.OVER_GUARANTEE)
# Machines that are expected to be of use again, whether they are heard or not.
UP_FLAGS = frozenset({MachineFlag.USABLE, MachineFlag.LOST, MachineFlag.UNHEARD})


class GangPlanner:
    """Where jobs that stay whole go: a shard with room for all, or several together."""

    def __init__(
        self,
        context: SchedulingContext,
        statuses: ShardStatuses,
        quotas: Quotas,
        deadlines: Deadlines,
        range_writer: RangeWriter,
    ) -> None:
        self.policy = context.policy
        self.job_index = context.job_index
        self.machine_types = context.machine_types
        self.statuses = statuses
        self.quotas = quotas
        self.deadlines = deadlines
        self.range_writer = range_writer
        self.counter = 0
        self.keeping: tuple[str, float] | None = None  # the gang that waits for kept room
        # Room promised to gangs that statuses can't show yet: (at, (part, zone), need, tasks).
        self.booked: list[tuple[float, ShardZone, Resources, int]] = []

    def plan(self, spec: user_api.JobSpec, token: int, job: Job | None = None) -> Plan | None:
        """Room for a whole gang: in one shard if one has it, else over several.

        Over several shards all start the same attempt; its number rests on a token of
        this node, so nobody else ever uses it.
        """
        if self.quotas.limit_left(spec) < spec.tasks:
            return None
        now = trio.current_time()
        under = self.quotas.under(spec)
        sources = [CapacitySource.FREE]
        if spec.rank != user_api.RANKS[-1]:
            sources.append(CapacitySource.PREEMPTIBLE)
        if under and len(self.quotas.known) > 1:
            sources.append(CapacitySource.OVER_GUARANTEE)
        if job is not None and self.deadlines.is_late(job) and self._may_keep(job.id, now):
            sources.append(CapacitySource.RESERVED)
        for source in sources:
            capacities = self.free_capacity(spec, source)
            found = plan_gang(capacities, spec.tasks, one_zone=spec.one_zone, spread=spec.spread)
            if found is None:
                continue
            for key, count in found.items():
                self.booked.append((now, key, resource_request(spec), count))
            shards = sorted({shard for shard, _ in found})
            ranges, first = [], 0
            for shard in shards:
                n = sum(count for (p, _), count in found.items() if p == shard)
                ranges.append(TaskRange(first, first + n, shard))
                first += n
            attempt = 0
            if len(shards) > 1:
                self.counter += 1
                attempt = (token << 24) + (1 << 23) + self.counter
            if source is CapacitySource.RESERVED:
                self.keeping = (spec.id, now)
            zones = {zone for _, zone in found}
            log.info(
                "gang planned job=%s parts=%d attempt=%d source=%s",
                spec.id,
                len(shards),
                attempt,
                source.name,
            )
            return Plan(
                ranges,
                zones.pop() if spec.one_zone else None,
                attempt,
                [ZoneCap(p, zone, n) for (p, zone), n in found.items()]
                if spec.spread and len(shards) > 1
                else [],
            )
        return None

    def plan_service(self, spec: user_api.JobSpec, shards: Iterable[int]) -> Plan | None:
        """One of these shards that has room for every replica of a service, by preemption if
        need be; None if none has, so that the replicas go wherever there is some."""
        now = trio.current_time()
        for source in (CapacitySource.FREE, CapacitySource.PREEMPTIBLE):
            capacities = self.free_capacity(spec, source)
            rows = []
            for shard in shards:
                here = {key: count for key, count in capacities.items() if key[0] == shard}
                found = plan_gang(here, spec.tasks, one_zone=spec.one_zone, spread=spec.spread)
                if found is not None:
                    rows.append((-sum(here.values()), shard, found))
            if rows:
                _, shard, found = min(rows, key=lambda row: row[:2])
                for key, count in found.items():
                    self.booked.append((now, key, resource_request(spec), count))
                bound = spec.one_zone and spec.tasks > 1
                zone = next(zone for _, zone in found) if bound else None
                return Plan([TaskRange(0, spec.tasks, shard)], zone)
        return None

    def _may_keep(self, id: str, now: float) -> bool:
        """Room is kept for one gang at a time: two could each hold half of the other's."""
        if self.keeping is None or self.keeping[0] == id:
            return True
        job = self.job_index.open.get(self.keeping[0])
        waits = job is not None and not any(
            job.id in n.running for n in self.statuses.newest.values()
        )
        return not waits or now - self.keeping[1] > self.policy.start_within / 4

    def _by_capacity(self, spec: user_api.JobSpec) -> Plan | None:
        """The part whose machines, were they empty, hold the gang best: it keeps room."""
        plan = self.plan_whole(spec)
        if plan is not None:
            _, _, shard = plan.ranges[0]
            log.info("gang waits for room job=%s part=%d zone=%s", spec.id, shard, plan.zone)
        return plan

    def free_capacity(self, spec: user_api.JobSpec, source: CapacitySource) -> dict[ShardZone, int]:
        """Tasks that each shard could start in each zone, less what was booked just now."""
        resources = resource_request(spec)
        limit = trio.current_time() - self.policy.heartbeat_interval * 3
        self.booked = [row for row in self.booked if row[0] > limit]
        capacities: dict[ShardZone, int] = {}
        for status in self.statuses.newest.values():
            for zone, count in self._free_capacity_in(status, spec, source).items():
                capacities[ShardZone(status.shard, zone)] = count
        for _, key, (a, b, c), count in self.booked:
            if key in capacities:
                share = max(
                    (x / y for x, y in zip((a, b, c), resources, strict=True) if y), default=0
                )
                capacities[key] = max(0, capacities[key] - math.ceil(count * min(1.0, share)))
        return capacities

    def _free_capacity_in(
        self, status: ShardStatus, spec: user_api.JobSpec, source: CapacitySource
    ) -> dict[str, int]:
        """Tasks that a shard could start in each zone; worked out once a status and shape.

        The leader plans every gang that waits, several times a second.
        """
        resources = resource_request(spec)
        known = self.statuses.zones.setdefault(status.shard, {})
        key = (source, resources, spec.types, spec.zone, spec.spot)
        found = known.get(key)
        if found is not None:
            return found
        found = known[key] = {}
        for (type_, zone, spot), machines in self.statuses.groups_of(status).items():
            machine_type = self.machine_types().get(type_)
            if machine_type is None or not allows_machine_type(spec, machine_type, zone, spot):
                continue
            total = 0
            for machine in machines:
                if machine.flag:
                    continue
                available = machine.free
                if (
                    source is CapacitySource.RESERVED
                    and machine.name not in status.reserved_machines
                ):
                    available = capacity_of(machine_type)
                elif source in BY_PREEMPTION and machine.name not in status.reserved_machines:
                    available = available.plus(machine.preemptible)
                    if source is CapacitySource.OVER_GUARANTEE:
                        available = available.plus(machine.over_guarantee)
                if fits(resources, available):
                    total += count_fitting(resources, available)
            if total:
                found[zone] = found.get(zone, 0) + total
        return found

    async def assign(self, job: Job, token: int) -> None:
        """A job whose tasks constrain one another: to one shard, or reserved over several."""
        spec = job.spec
        plan: Plan | None = None
        if spec.kind == user_api.GANG:
            plan = self.plan(spec, token, job)
            if plan is None and spec.tasks == 1 and self.quotas.limit_left(spec):
                # It needs one machine, and that can be kept for it.
                plan = self._by_capacity(spec)
        else:
            plan = self.plan_whole(spec)
        if plan is not None:
            await self.range_writer.write_ranges(
                job,
                {keys.shard(CLUSTER_LEADER_SHARD): token},
                plan.ranges,
                zone=plan.zone,
                attempt=plan.attempt,
                caps=plan.caps,
            )

    def plan_whole(self, spec: user_api.JobSpec) -> Plan | None:
        """The part, and the zone if it needs one, for an array or service that stays whole."""
        if spec.is_service:
            plan = self.plan_service(spec, self.statuses.newest)
            if plan is not None:
                return plan
        best = self.best_shard(spec)
        if best is None:
            return None
        ranges = [TaskRange(0, spec.tasks, best)]
        zone = self.pick_zone(spec, ranges)
        if zone is None and spec.one_zone and spec.tasks > 1:
            return None
        return Plan(ranges, zone)

    async def assign_rest(self, job: Job, token: int) -> None:
        """What a shard gave back of a whole job after other tasks of it were done.

        One task of a gang done means that all are: the rest ends as soon as it starts
        somewhere. Of an array bound to one zone, or spread, the rest goes where there is
        room, in another zone too: nothing of the job is anywhere else by now.
        """
        if may_be_active(job, job.record.ranges):
            return
        done = TaskBitmap(job.record.tasks)
        for first, end, _ in job.record.ranges:
            for task in range(first, end):
                done.add(task)
        left = merge((t, t + 1, 0) for t in range(job.record.tasks) if t not in done)
        count = sum(r.tasks for r in left)
        rest = msgspec.structs.replace(job.spec, tasks=count)
        best = self.best_shard(rest)
        if best is None:
            return
        zone = self.pick_zone(rest, [TaskRange(0, count, best)], bound=job.spec.tasks > 1)
        if zone is None and job.spec.one_zone:
            return
        log.info("rest of a job assigned job=%s tasks=%d part=%d", job.id, count, best)
        await self.range_writer.write_ranges(
            job,
            {keys.shard(CLUSTER_LEADER_SHARD): token},
            merge([*job.record.ranges, *((a, b, best) for a, b, _ in left)]),
            zone=zone,
            attempt=0,
            caps=[],
        )

    def pick_zone(
        self, spec: user_api.JobSpec, ranges: list[TaskRange], *, bound: bool | None = None
    ) -> str | None:
        """The zone for a one-zone job of several tasks, fixed before its first start."""
        if not spec.one_zone or not (spec.tasks > 1 if bound is None else bound):
            return None
        if spec.zone is not None:
            return spec.zone
        shards = {p for _, _, p in ranges}
        capacities: dict[str, tuple[float, float]] = {}
        for status in self.statuses.newest.values():
            if shards and status.shard not in shards:
                continue
            for machine in status.machines:
                machine_type = self.machine_types().get(machine.type)
                if machine_type is None or machine.flag not in UP_FLAGS | {MachineFlag.NEW}:
                    continue
                if not allows_machine_type(spec, machine_type, machine.zone, machine.spot):
                    continue
                now, ever = capacities.get(machine.zone, (0.0, 0.0))
                capacities[machine.zone] = (
                    now + count_fitting(resource_request(spec), machine.free),
                    ever + count_fitting(resource_request(spec), capacity_of(machine_type)),
                )
        wanted = spec.tasks if spec.kind == user_api.GANG else 1
        best = max(
            capacities.items(),
            default=None,
            key=lambda r: (r[1][0] >= wanted, r[1][1] >= wanted, r[1][0], r[1][1]),
        )
        return best[0] if best is not None and best[1][1] >= wanted else None

    def best_shard(self, spec: user_api.JobSpec) -> int | None:
        """For a job that stays whole: the shard with room now, else the likeliest."""
        rows = []
        for status in self.statuses.newest.values():
            able = sum(
                count_fitting(resource_request(spec), capacity_of(k))
                for m in status.machines
                if m.flag in UP_FLAGS
                and (k := self.machine_types().get(m.type)) is not None
                and allows_machine_type(spec, k, m.zone, m.spot)
            )
            if able < (spec.tasks if spec.kind == user_api.GANG else 1):
                continue
            queued = sum(
                count * share_ratio(spec, self.job_index.open.get(id))
                for id, count in status.pending.items()
            )
            owed = sum(1 for at, _ in self.statuses.unreported.get(status.shard, ()))
            now = self.statuses.free_capacity(status, spec, by_preemption=False) - owed
            soon = self.statuses.free_capacity(status, spec, by_preemption=True) - owed
            rows.append((now < spec.tasks, soon < spec.tasks, queued / able, status.shard))
        if not rows:
            return None
        best = min(rows)[3]
        self.statuses.record_allocation(best, spec, spec.tasks)
        return best
