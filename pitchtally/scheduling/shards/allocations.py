"""State of one shard: allocations of jobs, pending tasks, machine groups and their queues.

Plain state without I/O. Times are trio's clock in seconds.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

import trio

from ...agents.machine import Machine, MachineGroupKey, Placement
from ...config.clock import LONG_AGO_S
from ...jobs.index import Job
from ...jobs.pending_tasks import PendingTasks
from ...jobs.resources import Resources, resource_request
from ...protocol import cloud_api, user_api
from ..capacity import RANK
from .failure_attribution import JobHealth
from .lower_price_capacity import GroupCapacity, TaskCapacity

# Lower bound of a group's capacity for batch tasks. Without it, the queue of a group fully used
# by services would have no finite length; with it, the queue is merely very long.
MIN_BATCH_MACHINES = 0.05


def max_tasks_in_zone(spec: user_api.JobSpec) -> int:
    """Return how many tasks of a spread job one zone may have: half of them, rounded up.

    The maximum holds over all shards.
    """
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
        self.consecutive_short_runs = 0  # replicas in a row that exited soon after their start
        self.one_zone = spec.one_zone and spec.tasks > 1
        self.release = release  # time at which the job was accepted (r of the paper)
        # `Deadlines.refresh` updates the next five fields on each survey.
        self.size = 0.0  # task-seconds of all tasks of the job (w of the paper)
        self.lateness_penalty = 0.0  # seconds added to its deadline
        self.max_start_delay = 1e9  # seconds from release, see `Deadlines.max_start_delay`
        self.aged = False  # pending for so long that it takes precedence until its next start
        self.capacity_by_group: dict[MachineGroupKey, TaskCapacity] = {}
        self.allowed_groups: dict[MachineGroupKey, bool] = {}  # group -> whether the job allows it
        self.pending = PendingTasks()
        # Changed by `add_placement` and `remove_placement` alone, which count the tasks by zone.
        self.placed: dict[int, Placement] = {}
        self._placed_by_zone: Counter[str] = Counter()
        self.ranges: list[tuple[int, int]] = []
        self.pending_since = trio.current_time()  # the last start, or when tasks became pending
        # Whether the outcome of a write that takes tasks from this shard is still unknown.
        self.range_write_in_flight = False
        self.allotted_at = LONG_AGO_S  # time at which tasks were last added to machine queues
        self.not_before = LONG_AGO_S  # end of the back-off after failures; no task starts earlier
        self.failed_on: dict[str, float] = {}  # machine -> when a task of the job last failed there
        # Machines whose failure counts include failures of this job.
        self.machines_blamed: set[str] = set()
        self.longest_failed_run_s = 0.0  # the longest run that ended in a failure
        self.probe_count = 0  # failed retries since the job was classified as faulty
        # By its failures and running tasks when it was last classified, see `failure_attribution`.
        self.classified_as = JobHealth.UNKNOWN
        # Whether all placed tasks of a gang were told to stop, as one of them is gone.
        self.gang_stopping = False
        self.last_shared_attempt = 0  # attempt placed last, for a gang over several shards

    @property
    def faulty(self) -> bool:
        """Whether the job fails on every machine."""
        return self.classified_as is JobHealth.FAULTY

    @property
    def has_finished_task(self) -> bool:
        """Whether a task of the job has finished, durable or not."""
        return bool(self.job.finished.count or self.job.unwritten_tasks)

    def max_tasks_in_zone(self, zone: str) -> int:
        """Return how many tasks of a spread job this shard may have in a zone."""
        if self.service and self.job.record.zone_caps:
            return sum(
                cap.tasks
                for cap in self.job.record.zone_caps
                if cap.shard == self.shard and cap.zone == zone
            )
        return max_tasks_in_zone(self.spec)

    def placed_in(self, zone: str) -> int:
        """Return how many tasks are on machines of a zone, including those being stopped."""
        return self._placed_by_zone[zone]

    def add_placement(self, placement: Placement) -> None:
        """Record that a task is on a machine."""
        self.placed[placement.task] = placement
        self._placed_by_zone[placement.machine.zone] += 1
        self.gang_stopping = False

    def remove_placement(self, placement: Placement) -> None:
        """Record that a task has left its machine."""
        del self.placed[placement.task]
        self._placed_by_zone[placement.machine.zone] -= 1

    def rebuild_pending(self) -> None:
        """Rebuild the pending tasks: those in the ranges that are neither finished nor placed."""
        self.ranges = [(r.first, r.end) for r in self.job.record.ranges if r.shard == self.shard]
        self.pending = PendingTasks()
        if not self.job.open:
            return
        not_pending = self.job.finished_tasks()
        for task in self.placed:
            not_pending.add(task)
        for first, end in self.ranges:
            for gap_first, gap_end in not_pending.gaps(first, end):
                self.pending.put(gap_first, gap_end)

    def has_task(self, task: int) -> bool:
        """Return whether a task is in the ranges that the shard has."""
        return any(first <= task < end for first, end in self.ranges)

    def may_adopt(self, placement: Placement) -> bool:
        """Return whether a running task belongs to the shard and runs nowhere else in it."""
        return placement.task not in self.placed and self.has_task(placement.task)

    def adopt(self, placement: Placement) -> None:
        """Record a task that an earlier leader started as placed, so no longer pending."""
        self.add_placement(placement)
        self.pending.remove(placement.task)

    def return_to_pending(self, task: int) -> None:
        """Make a task that has left its machine pending again, unless finished or moved."""
        if self.has_task(task) and not self.job.is_finished(task):
            if self.service and not self.pending.count:
                self.pending_since = trio.current_time()  # all replicas were placed until now
            self.pending.put(task, task + 1)


class MachineGroup:
    """Interchangeable machines of a shard, and the queue that they share evenly.

    The paper keeps a queue and an availability matrix for each machine. Here, interchangeable
    machines share one of each, so that the cost doesn't grow with their number. Availability
    is the same, since any of them can run the next task.
    """

    def __init__(self, machine_type: cloud_api.MachineType) -> None:
        self.machine_type = machine_type
        self.machines: list[Machine] = []
        self.load_seconds: dict[str, float] = {}  # job ID -> machine-seconds running and queued
        self.ranks: dict[str, int] = {}  # job ID -> rank
        # The least stretch at which the queue meets all deadlines (S of the paper).
        self.least_stretch = 0.0
        self.service_machines = 0.0  # capacity used by services, in machines

    @property
    def batch_machines(self) -> float:
        """Capacity for batch tasks, in machines; services never release theirs."""
        return max(MIN_BATCH_MACHINES, len(self.machines) - self.service_machines)


class SmallestRequest(NamedTuple):
    """Lower bound, for each resource, of the requests of pending tasks outside gangs."""

    cpus: float
    memory: float  # GiB


class CachedLeastStretch(NamedTuple):
    """Least stretch of a machine group's queue, and when it was computed."""

    computed_at: float
    least_stretch: float


class ShardState:
    """State of one shard: allocations, machine queues, and machine groups."""

    def __init__(self) -> None:
        self.loaded = False  # whether the replica covers the failover
        # Whether each machine that may run a task has reported its tasks or is lost.
        self.reconciled = False
        self.blocked: set[str] = set()  # jobs of which a suspect machine may run tasks
        self.allocations: dict[str, ShardAllocation] = {}  # job ID -> allocation
        self.gangs: dict[str, ShardAllocation] = {}  # the allocations of gangs
        # Lets the placer skip machines too full for any pending task, as most machines are.
        self.smallest_request = SmallestRequest(0.0, 0.0)
        self.least_stretch_cache: dict[MachineGroupKey, CachedLeastStretch] = {}
        self.queues: dict[MachineGroupKey, dict[str, int]] = {}  # group -> job ID -> queued tasks
        self.machine_groups: dict[MachineGroupKey, MachineGroup] = {}
        # Free capacity by group at the last survey.
        self.capacities: dict[MachineGroupKey, GroupCapacity] = {}
        self.running_by_rank: list[int] = [0] * len(user_api.RANKS)  # tasks on machines, by rank
        # Gangs over several shards whose tasks for this shard fit here.
        self.ready_gangs: set[str] = set()
        # Job ID -> tasks found on machines while the job was blocked; the inner dicts are ordered
        # sets, which keeps seeded runs repeatable.
        self.unattached: dict[str, dict[Placement, None]] = {}

    def lower_smallest_request(self, resources: Resources) -> None:
        """Lower the bound to cover a request that may be pending from now on."""
        smallest = self.smallest_request
        self.smallest_request = SmallestRequest(
            min(smallest.cpus, resources.cpus), min(smallest.memory, resources.memory)
        )

    def with_gang(self, victim: Placement) -> list[Placement]:
        """Return the placements that must stop with this one: all of its gang, if in one."""
        allocation = self.allocations.get(victim.job.id)
        if victim.spec.kind == user_api.GANG and allocation is not None:
            return list(allocation.placed.values())
        return [victim]
