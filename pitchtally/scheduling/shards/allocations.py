"""The state of one shard: allocations of jobs, pending tasks, machine groups and their queues.

Plain state without I/O. Times are trio's clock in seconds.
"""

from __future__ import annotations

from typing import NamedTuple

import trio

from ...agents.machine import Machine, MachineGroupKey, Placement
from ...config.clock import LONG_AGO
from ...jobs.index import Job
from ...jobs.resources import Resources, resource_request
from ...protocol import cloud_api, user_api
from ..capacity import RANK
from .lower_price_capacity import GroupCapacity, TaskCapacity

# A group whose machines are all taken by services still has a queue, though an endless one.
MIN_BATCH_MACHINES = 0.05


class PendingTasks:
    """Tasks not started, kept as half-open ranges so that a wide array costs little."""

    def __init__(self) -> None:
        self.ranges: list[tuple[int, int]] = []
        self.count = 0

    def put(self, first: int, end: int) -> None:
        """Add the tasks from `first` up to, but not including, `end`."""
        if end > first:
            self.ranges.append((first, end))
            self.count += end - first

    def pop(self) -> int:
        """Remove and return one task; there must be one."""
        first, end = self.ranges[-1]
        if end - first == 1:
            self.ranges.pop()
        else:
            self.ranges[-1] = (first + 1, end)
        self.count -= 1
        return first

    def split_off(self, max_count: int) -> list[tuple[int, int]]:
        """Remove up to `max_count` tasks, furthest from the next start first; return their ranges."""
        removed = []
        while max_count > 0 and self.ranges:
            first, end = self.ranges.pop(0)
            taken = min(max_count, end - first)
            removed.append((end - taken, end))
            if first < end - taken:
                self.ranges.insert(0, (first, end - taken))
            max_count -= taken
            self.count -= taken
        return removed


def max_tasks_in_zone(spec: user_api.JobSpec) -> int:
    """The most tasks of a spread job in one zone, over all shards: half, rounded up."""
    return (spec.tasks + 1) // 2


class ShardAllocation:
    """The tasks of one job in one shard that this controller leads."""

    def __init__(self, job: Job, shard: int, release: float):
        self.job = job
        self.shard = shard
        spec = job.spec
        self.spec = spec
        self.resources = resource_request(spec)
        self.rank = RANK[spec.rank]
        self.gang = spec.kind == user_api.GANG
        self.service = spec.is_service
        self.consecutive_short_runs = 0  # consecutive replicas that exited soon after their start
        self.one_zone = spec.one_zone and spec.tasks > 1
        self.release = release  # r of the paper: when the job was accepted
        # The next five are refreshed by each survey, see `Deadlines.refresh`.
        self.size = 0.0  # w of the paper: task-seconds of the whole job
        self.lateness_penalty = 0.0  # seconds added to its deadline
        self.max_start_delay = 1e9  # seconds from release, see `Deadlines.max_start_delay`
        self.aged = False  # pending for too long: it comes first until its next start
        self.capacity_by_group: dict[MachineGroupKey, TaskCapacity] = {}
        self.allowed_groups: dict[MachineGroupKey, bool] = {}  # whether the job allows a group
        self.pending = PendingTasks()
        self.placed: dict[int, Placement] = {}
        self.ranges: list[tuple[int, int]] = []
        self.pending_since = trio.current_time()  # the last start, or when tasks became pending
        self.moving = False  # a write that gives tasks to another shard is unresolved
        self.allotted_at = LONG_AGO  # when tasks were last added to machine queues
        self.not_before = LONG_AGO  # back-off after failures: no start earlier
        self.failed_on: dict[str, float] = {}  # machine -> when a task of the job last failed there
        self.longest_failed_run_s = 0.0  # seconds: the longest run that ended in a failure
        self.probe_count = 0  # failed retries since the job was classified as faulty
        self.faulty = False  # see `failure_attribution`
        self.last_shared_attempt = 0  # of a gang over several shards: the attempt placed last

    def max_tasks_in_zone(self, zone: str) -> int:
        """The most tasks of a spread job that this shard may have in a zone."""
        if self.service and self.job.record.zone_caps:
            return sum(
                cap.tasks
                for cap in self.job.record.zone_caps
                if cap.shard == self.shard and cap.zone == zone
            )
        return max_tasks_in_zone(self.spec)

    def placed_in(self, zone: str) -> int:
        """How many of its tasks are on machines of a zone, those being stopped included."""
        return sum(1 for p in self.placed.values() if p.machine.zone == zone)

    def rebuild_pending(self) -> None:
        """Derive the pending tasks: those of the ranges that are neither finished nor placed."""
        self.ranges = [(r.first, r.end) for r in self.job.record.ranges if r.shard == self.shard]
        self.pending = PendingTasks()
        runs = []
        for first, end in self.ranges:
            start: int | None = None
            for task in range(first, end):
                if task in self.placed or self.job.is_finished(task):
                    if start is not None:
                        runs.append((start, task))
                        start = None
                elif start is None:
                    start = task
            if start is not None:
                runs.append((start, end))
        for first, end in reversed(runs):
            self.pending.put(first, end)

    def return_to_pending(self, task: int) -> None:
        """Make a task pending that is on no machine any more, unless finished or moved."""
        if any(first <= task < end for first, end in self.ranges) and not self.job.is_finished(
            task
        ):
            if self.service and not self.pending.count:
                self.pending_since = trio.current_time()  # all of the service ran until now
            self.pending.put(task, task + 1)


class MachineGroup:
    """Interchangeable machines of a shard, and the queue that they share evenly.

    The paper keeps a queue and an availability matrix for each machine. Interchangeable
    machines share one of each, so the cost does not grow with their number; availability is
    the same, since any of them can taken the next task.
    """

    def __init__(self, machine_type: cloud_api.MachineType) -> None:
        self.machine_type = machine_type
        self.machines: list[Machine] = []
        self.load_seconds: dict[str, float] = {}  # job -> machine-seconds running and queued
        self.ranks: dict[str, int] = {}  # job -> rank
        self.least_stretch = (
            0.0  # S of the paper: the least stretch at which its queue meets all deadlines
        )
        self.service_machines = 0.0  # machines' worth of capacity that services taken

    @property
    def batch_machines(self) -> float:
        """Machines' worth of capacity for tasks that end; services never release theirs."""
        return max(MIN_BATCH_MACHINES, len(self.machines) - self.service_machines)


class SmallestRequest(NamedTuple):
    """A lower bound, resource by resource, on what any pending array task requests."""

    cpus: float
    memory: float  # GiB


class CachedLeastStretch(NamedTuple):
    """The least stretch of a machine group's queue, and when it was worked out."""

    computed_at: float
    least_stretch: float


class ShardState:
    """The state of one shard: allocations, machine queues, and machine groups."""

    def __init__(self) -> None:
        self.loaded = False  # the replica covers the failover
        self.reconciled = False  # every machine that may run a task is heard from, or lost
        self.blocked: set[str] = set()  # jobs of which a suspect machine may run tasks
        self.allocations: dict[str, ShardAllocation] = {}
        self.gangs: dict[str, ShardAllocation] = {}  # those of them that are gangs
        # Lets an agent heartbeat skip machines too full for any pending task, which most are.
        self.smallest_request = SmallestRequest(0.0, 0.0)
        self.least_stretch_cache: dict[MachineGroupKey, CachedLeastStretch] = {}
        self.queues: dict[MachineGroupKey, dict[str, int]] = {}  # by group: job -> queued tasks
        self.machine_groups: dict[MachineGroupKey, MachineGroup] = {}
        self.capacities: dict[MachineGroupKey, GroupCapacity] = {}  # as of the last survey
        self.running_by_rank: list[int] = [0] * len(user_api.RANKS)  # tasks on machines
        self.ready_gangs: set[str] = set()  # gangs over several shards whose share fits here
        self.unattached: list[Placement] = []  # found on machines while their job was blocked

    def lower_smallest_request(self, resources: Resources) -> None:
        """Lower the bound to cover a request that may be pending from now on."""
        smallest = self.smallest_request
        self.smallest_request = SmallestRequest(
            min(smallest.cpus, resources.cpus), min(smallest.memory, resources.memory)
        )

    def with_gang(self, victim: Placement) -> list[Placement]:
        """The placements that have to stop with this one: its whole gang, if it has one."""
        allocation = self.allocations.get(victim.job.id)
        if victim.spec.kind == user_api.GANG and allocation is not None:
            return list(allocation.placed.values())
        return [victim]
