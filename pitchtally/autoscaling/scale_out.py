"""Hires: which machines waiting work calls for, and the requests that rent them.

Names of hires come from the leader's token and a counter, so that no node ever uses one
twice; a hire without an answer is repeated under its name.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import trio

from ..agents.machine import MachineGroupKey
from ..jobs.resources import capacity_of, count_fitting, resource_request
from ..membership.messages import MachineFlag, MachineStatus
from ..protocol import cloud_api, user_api
from ..scheduling.capacity import allows_machine_type
from .cloud_client import InsufficientCapacity

if TYPE_CHECKING:
    from .autoscaler import Autoscaler

log = logging.getLogger("hiring")

encode = msgspec.json.encode

HIRE_MOST = 50  # the protocol's most machines in one hire
HIRES_AT_ONCE = 6  # requests in one turn of the leader's loop
# Seconds for which a group that had no machine, or not all of them, is left alone.
FIRST_PAUSE, LONGEST_PAUSE, SHORT_PAUSE = 5.0, 60.0, 20.0


@dataclass(slots=True)
class Booting:
    """A machine that was rented and has not been heard yet."""

    group: MachineGroupKey
    since: float


@dataclass(slots=True)
class Demand:
    """Waiting tasks of one shape, all shards together."""

    spec: user_api.JobSpec
    seconds: float = 0.0  # task-seconds
    tasks: int = 0


class ScaleOut:
    """The leader's requests for machines."""

    def __init__(self, autoscaler: Autoscaler) -> None:
        self.autoscaler = autoscaler
        self.scheduler = autoscaler.scheduler
        self.refused: dict[MachineGroupKey, tuple[float, float]] = {}  # group -> (until, pause)
        self.pending: cloud_api.LaunchRequest | None = None  # a hire without an answer
        self.counter = 0

    async def hire(self, token: int) -> None:
        """Rent what waiting work calls for, as long as this node surely leads."""
        now = trio.current_time()
        for _ in range(HIRES_AT_ONCE):
            if self.autoscaler.membership.verified_cluster_leader() != token:
                return
            if self.pending is None:
                found = self._next(now)
                if found is None:
                    return
                group, count = found
                self.counter += 1
                self.pending = cloud_api.LaunchRequest(
                    f"h-{token}-{self.counter}", group.type, group.zone, group.spot, count
                )
            await self._send(self.pending, now)

    async def _send(self, hire: cloud_api.LaunchRequest, now: float) -> None:
        group = MachineGroupKey(hire.type, hire.zone, hire.spot)
        try:
            body = await self.autoscaler.cloud.call("POST", "/machines", encode(hire))
        except InsufficientCapacity:
            self.pending = None
            pause = min(self.refused.get(group, (0.0, FIRST_PAUSE))[1] * 2, LONGEST_PAUSE)
            self.refused[group] = (now + pause, pause)
            log.info("hire refused type=%s zone=%s spot=%s", *group)
            return
        names = msgspec.json.decode(body, type=cloud_api.MachineNames).machines
        self.pending = None
        if len(names) < hire.count:
            self.refused[group] = (now + SHORT_PAUSE, SHORT_PAUSE)
        else:
            self.refused.pop(group, None)
        log.info("hired type=%s zone=%s spot=%s count=%d", *group, len(names))
        for name in names:
            self.autoscaler.booting[name] = Booting(group, now)

    def _groups(self) -> Iterable[MachineGroupKey]:
        for machine_type in self.autoscaler.types.values():
            for zone in machine_type.zones:
                yield MachineGroupKey(machine_type.name, zone, False)
                if machine_type.spot_price is not None:
                    yield MachineGroupKey(machine_type.name, zone, True)

    def _next(self, now: float) -> tuple[MachineGroupKey, int] | None:
        """The next hire that waiting work calls for, cheapest per task first."""
        open_groups = [g for g in self._groups() if self.refused.get(g, (0.0, 0.0))[0] <= now]
        if not open_groups:
            return None
        statuses = self.autoscaler.statuses()
        for demand in self._demands():
            cheapest = self._cheapest(demand.spec, open_groups)
            if cheapest is None:
                continue
            group, fit = cheapest
            short = self._short(demand, statuses)
            if short > 0:
                return group, max(1, min(int(short / fit + 0.999), HIRE_MOST))
        return None

    def _demands(self) -> Iterable[Demand]:
        """What waits, assigned to a shard or not yet, by shape."""
        waiting: dict[str, int] = {}
        for shard in self.scheduler.statuses.newest.values():
            for id, count in shard.pending.items():
                waiting[id] = waiting.get(id, 0) + count
        for job in self.autoscaler.job_index.open.values():
            unassigned = job.record.tasks - sum(r.tasks for r in job.record.ranges)
            if unassigned > 0:
                waiting[job.id] = waiting.get(job.id, 0) + unassigned
        shapes: dict[tuple[object, ...], Demand] = {}
        for id, count in waiting.items():
            found = self.autoscaler.job_index.open.get(id)
            if found is None:
                continue
            spec = found.spec
            shape = (spec.job_class, spec.types, spec.zone, spec.spot)
            demand = shapes.get(shape) or Demand(spec)
            demand.spec = spec
            demand.seconds += count * self.scheduler.estimates.task(spec)
            demand.tasks += count
            shapes[shape] = demand
        return shapes.values()

    def _cheapest(
        self, spec: user_api.JobSpec, groups: list[MachineGroupKey]
    ) -> tuple[MachineGroupKey, int] | None:
        """The group whose machines cost least per task, and how many tasks one holds."""
        options = []
        for group in groups:
            machine_type = self.autoscaler.types[group.type]
            if not allows_machine_type(spec, machine_type, group.zone, group.spot):
                continue
            fit = count_fitting(resource_request(spec), capacity_of(machine_type))
            price = (
                machine_type.spot_price if group.spot else machine_type.price
            ) or machine_type.price
            options.append((price / fit, machine_type.boot, group, fit))
        if not options:
            return None
        _, _, group, fit = min(options)
        return group, fit

    def _short(self, demand: Demand, statuses: dict[str, MachineStatus]) -> float:
        """Tasks' worth of machines that are missing for the demand to be met in time."""
        spec = demand.spec
        resources = resource_request(spec)
        slots = free = 0
        for status in statuses.values():
            slots_here = self._slots(spec, MachineGroupKey(status.type, status.zone, status.spot))
            if status.flag in (MachineFlag.USABLE, MachineFlag.NEW):
                slots += slots_here
            if status.flag == MachineFlag.USABLE and slots_here:
                free += count_fitting(resources, status.free)
        coming = sum(
            self._slots(spec, booting.group) for booting in self.autoscaler.booting.values()
        )
        slots += coming
        allowed = self.scheduler.quotas.limit_left(spec) - free - coming
        if spec.is_service:
            # It never makes room for what waits behind it: only free machines help.
            yielding = sum(
                count_fitting(resources, status.preemptible)
                for status in statuses.values()
                if status.flag == MachineFlag.USABLE
                and self._slots(spec, MachineGroupKey(status.type, status.zone, status.spot))
            )
            return min(demand.tasks - free - yielding - coming, allowed)
        # Work that the present machines finish before a new one is up needs none.
        patience = self.autoscaler.policy.hire_patience * self.scheduler.priorities.slack(spec)
        if slots and demand.seconds / slots <= patience:
            return 0.0
        # More machines than the team's limit can fill would only cost.
        return min(demand.seconds / patience - slots, demand.tasks, allowed)

    def _slots(self, spec: user_api.JobSpec, group: MachineGroupKey) -> int:
        """Tasks of the job that an empty machine of the group holds, if the job allows it."""
        machine_type = self.autoscaler.types.get(group.type)
        if machine_type is None or not allows_machine_type(
            spec, machine_type, group.zone, group.spot
        ):
            return 0
        return count_fitting(resource_request(spec), capacity_of(machine_type))
