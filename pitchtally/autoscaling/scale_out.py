"""Scale out: launches machines for pending tasks.

Launch requests are named after the cluster leader's fencing token and a counter, so no two nodes
ever use the same name. A request without a response is retried under the same name.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import trio

from ..agents.machine import MachineGroupKey
from ..jobs.index import Job
from ..jobs.resources import count_fitting, resource_request
from ..membership.messages import MachineFlag, MachineStatus
from ..protocol import cloud_api, user_api
from ..state_store.identifiers import FencingToken
from .cloud_client import CloudClient, InsufficientCapacity
from .demand import PendingDemand, pending_demands, tasks_per_machine
from .scheduler_view import SchedulerView

log = logging.getLogger(__name__)

MAX_LAUNCHES_PER_ROUND = 6
# Delay before the next launch in a group that had no machines available (doubled each time), or
# fewer than requested. The delay after the first refusal is twice FIRST_BACKOFF_S.
FIRST_BACKOFF_S, MAX_BACKOFF_S, PARTIAL_BACKOFF_S = 5.0, 60.0, 20.0


@dataclass(frozen=True, slots=True)
class BootingMachine:
    """A launched machine that has not sent a heartbeat yet."""

    group: MachineGroupKey
    booting_since: float  # steady clock, seconds


class _Backoff(NamedTuple):
    """The delay before the next launch in a group."""

    until: float
    seconds: float


class _LaunchOption(NamedTuple):
    """The cost of running a job on machines of a group; the best option sorts first."""

    price_per_task: float
    boot_time: float
    group: MachineGroupKey
    tasks_per_machine: int


@dataclass(frozen=True, slots=True)
class PlannedLaunch:
    """A number of machines of a group to launch."""

    group: MachineGroupKey
    count: int


class ScaleOut:
    """Launches machines for pending tasks, choosing those with the lowest price per task."""

    def __init__(
        self,
        cloud: CloudClient,
        machine_types: Callable[[], Mapping[str, cloud_api.MachineType]],
        open_jobs: Mapping[str, Job],
        scheduler: SchedulerView,
        booting: dict[str, BootingMachine],
        max_queue_slack_share: float,
    ):
        """`booting`: shared with the health checks; launched machines are added to it.

        `max_queue_slack_share`: more machines are launched if the present ones would take longer
        than this share of a job's slack to finish its queue.
        """
        self._cloud = cloud
        self._machine_types = machine_types
        self._open_jobs = open_jobs
        self._scheduler = scheduler
        self._booting = booting
        self._max_queue_slack_share = max_queue_slack_share
        self._backoffs: dict[MachineGroupKey, _Backoff] = {}
        self._unanswered_request: cloud_api.LaunchRequest | None = None
        self._counter = 0

    def reset(self) -> None:
        """Drop an unanswered request of an earlier leadership."""
        self._unanswered_request = None

    async def run_round(self, token: FencingToken, is_verified: Callable[[], bool]) -> None:
        """Launch missing machines while leadership is verified; raises `CloudUnavailable`."""
        now = trio.current_time()
        for _ in range(MAX_LAUNCHES_PER_ROUND):
            if not is_verified():
                return
            if self._unanswered_request is None:
                launch = self._next_launch(now)
                if launch is None:
                    return
                self._counter += 1
                self._unanswered_request = cloud_api.LaunchRequest(
                    f"h-{token}-{self._counter}", *launch.group, launch.count
                )
            await self._launch(self._unanswered_request, now)

    async def _launch(self, request: cloud_api.LaunchRequest, now: float) -> None:
        group = MachineGroupKey(request.type, request.zone, request.spot)
        try:
            names = await self._cloud.launch(request)
        except InsufficientCapacity:
            self._unanswered_request = None
            previous = self._backoffs.get(group)
            seconds = min((previous.seconds if previous else FIRST_BACKOFF_S) * 2, MAX_BACKOFF_S)
            self._backoffs[group] = _Backoff(now + seconds, seconds)
            log.info("launch refused type=%s zone=%s spot=%s", *group)
            return
        self._unanswered_request = None
        if len(names) < request.count:
            self._backoffs[group] = _Backoff(now + PARTIAL_BACKOFF_S, PARTIAL_BACKOFF_S)
        else:
            self._backoffs.pop(group, None)
        log.info("launched type=%s zone=%s spot=%s count=%d", *group, len(names))
        for name in names:
            self._booting[name] = BootingMachine(group, now)

    def _next_launch(self, now: float) -> PlannedLaunch | None:
        """Return the next launch for pending tasks, None if none is needed or possible."""
        groups = [g for g in self._groups() if self._is_available(g, now)]
        if not groups:
            return None
        machines = self._scheduler.machine_statuses().values()
        shards = self._scheduler.shard_statuses().values()
        for demand in pending_demands(shards, self._open_jobs, self._scheduler):
            cheapest = self._cheapest(demand.spec, groups)
            if cheapest is None:
                continue
            missing_tasks = self._missing_tasks(demand, machines)
            if missing_tasks > 0:
                count = int(missing_tasks / cheapest.tasks_per_machine + 0.999)
                return PlannedLaunch(
                    cheapest.group, max(1, min(count, cloud_api.MAX_MACHINES_PER_LAUNCH))
                )
        return None

    def _groups(self) -> Iterable[MachineGroupKey]:
        for machine_type in self._machine_types().values():
            for zone in machine_type.zones:
                yield MachineGroupKey(machine_type.name, zone, False)
                if machine_type.spot_price is not None:
                    yield MachineGroupKey(machine_type.name, zone, True)

    def _is_available(self, group: MachineGroupKey, now: float) -> bool:
        backoff = self._backoffs.get(group)
        return backoff is None or backoff.until <= now

    def _cheapest(
        self, spec: user_api.JobSpec, groups: Iterable[MachineGroupKey]
    ) -> _LaunchOption | None:
        """Return the group with the lowest price per task, None if none can run the job."""
        types = self._machine_types()
        options = []
        for group in groups:
            fitting_tasks = tasks_per_machine(spec, group, types)
            if fitting_tasks:
                machine_type = types[group.type]
                price = price_of(machine_type, spot=group.spot)
                options.append(
                    _LaunchOption(
                        price / fitting_tasks, machine_type.boot_time, group, fitting_tasks
                    )
                )
        return min(options, default=None)

    def _missing_tasks(self, demand: PendingDemand, machines: Collection[MachineStatus]) -> float:
        """Return how many more task slots are needed to finish the pending tasks in time."""
        spec = demand.spec
        types = self._machine_types()
        resources = resource_request(spec)
        slots = free = preemptible_slots = 0
        for machine in machines:
            group = MachineGroupKey(machine.type, machine.zone, machine.spot)
            machine_slots = tasks_per_machine(spec, group, types)
            if machine.flag in (MachineFlag.USABLE, MachineFlag.NEW):
                slots += machine_slots
            if machine.flag == MachineFlag.USABLE and machine_slots:
                free += count_fitting(resources, machine.free)
                if spec.is_service:
                    preemptible_slots += count_fitting(resources, machine.preemptible)
        booting = sum(
            tasks_per_machine(spec, machine.group, types) for machine in self._booting.values()
        )
        slots += booting
        allowed = self._scheduler.tasks_within_limit(spec) - free - booting
        if spec.is_service:
            # Service tasks don't end, so each pending one needs a slot of its own.
            return min(demand.tasks - free - preemptible_slots - booting, allowed)
        # Tasks that the present machines finish before a new one has booted need no launch.
        max_queue_seconds = self._max_queue_slack_share * self._scheduler.slack(spec)
        if slots and demand.total_run_s / slots <= max_queue_seconds:
            return 0.0
        # Machines beyond the team's limit would stay without tasks and only add cost.
        return min(demand.total_run_s / max_queue_seconds - slots, demand.tasks, allowed)


def price_of(machine_type: cloud_api.MachineType, *, spot: bool) -> float:
    """Return the price of a machine; the on-demand price if there is no spot price."""
    if spot:
        return machine_type.spot_price or machine_type.price
    return machine_type.price
