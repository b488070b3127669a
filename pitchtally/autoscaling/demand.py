"""Demand of pending and recent jobs for machines, computed from status reports."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from ..agents.machine import MachineGroupKey
from ..jobs.index import Job
from ..jobs.resources import Resources, capacity_of, count_fitting, resource_request
from ..membership.messages import ShardStatus
from ..protocol import cloud_api, user_api
from ..scheduling.capacity import allows_machine_type
from .scheduler_view import SchedulerView


class JobShape(NamedTuple):
    """Groups jobs that may use the same machines and have tasks of about the same length."""

    job_class: str
    types: tuple[str, ...] | None
    zone: str | None
    spot: bool

    @classmethod
    def of(cls, spec: user_api.JobSpec) -> JobShape:
        """Return the shape of a job."""
        return cls(spec.job_class, spec.types, spec.zone, spec.spot)


class _RequestShape(NamedTuple):
    """The properties of a job that decide whether its pending tasks can use a machine."""

    resources: Resources
    team: str
    types: tuple[str, ...] | None
    zone: str | None
    spot: bool


@dataclass(slots=True)
class PendingDemand:
    """The pending tasks of one job shape in all shards."""

    spec: user_api.JobSpec  # a job of this shape, as an example
    total_run_s: float = 0.0  # expected run time of all these tasks
    tasks: int = 0


def pending_demands(
    statuses: Iterable[ShardStatus], open_jobs: Mapping[str, Job], scheduler: SchedulerView
) -> list[PendingDemand]:
    """Return the demand by job shape, including tasks not yet assigned to a shard."""
    pending: Counter[str] = Counter()
    for status in statuses:
        pending.update(status.pending)
    for job in open_jobs.values():
        unassigned = job.record.tasks - sum(r.tasks for r in job.record.ranges)
        if unassigned > 0:
            pending[job.id] += unassigned
    demands: dict[JobShape, PendingDemand] = {}
    for id, count in pending.items():
        pending_job = open_jobs.get(id)
        if pending_job is None:
            continue
        spec = pending_job.spec
        demand = demands.setdefault(JobShape.of(spec), PendingDemand(spec))
        demand.spec = spec
        demand.total_run_s += count * scheduler.task_seconds(spec)
        demand.tasks += count
    return list(demands.values())


def queued_specs(
    statuses: Iterable[ShardStatus], open_jobs: Mapping[str, Job], scheduler: SchedulerView
) -> list[user_api.JobSpec]:
    """Return one pending job per distinct request, without jobs of teams at their limit."""
    specs: dict[_RequestShape, user_api.JobSpec] = {}
    for status in statuses:
        for id in status.pending:
            job = open_jobs.get(id)
            if job is not None:
                spec = job.spec
                shape = _RequestShape(
                    resource_request(spec), spec.team, spec.types, spec.zone, spec.spot
                )
                specs.setdefault(shape, spec)
    return [spec for spec in specs.values() if scheduler.tasks_within_limit(spec)]


def tasks_per_machine(
    spec: user_api.JobSpec,
    group: MachineGroupKey,
    types: Mapping[str, cloud_api.MachineType],
) -> int:
    """Return how many tasks of a job fit an empty machine of a group; 0 if it isn't allowed."""
    machine_type = types.get(group.type)
    if machine_type is None or not allows_machine_type(spec, machine_type, group.zone, group.spot):
        return 0
    return count_fitting(resource_request(spec), capacity_of(machine_type))


class _Sample(NamedTuple):
    sampled_at: float
    tasks: int


class RecentPeaks:
    """The peak number of tasks of each job shape that were running or startable at once."""

    def __init__(self, window: float):
        """`window`: age in seconds at which a sample is dropped."""
        self._window = window
        self._samples: dict[JobShape, list[_Sample]] = {}

    def sample(self, now: float, open_jobs: Iterable[Job], scheduler: SchedulerView) -> None:
        """Record the current demand, and drop samples older than the window."""
        counts: Counter[JobShape] = Counter()
        for job in open_jobs:
            spec = job.spec
            unfinished = spec.tasks - job.finished.count
            startable = 1 + scheduler.tasks_within_limit(spec) + scheduler.running_tasks(job.id)
            counts[JobShape.of(spec)] += min(unfinished, startable)
        for shape, tasks in counts.items():
            self._samples.setdefault(shape, []).append(_Sample(now, tasks))
        for shape in list(self._samples):
            recent = [s for s in self._samples[shape] if now - s.sampled_at < self._window]
            self._samples[shape] = recent
            if not recent:
                del self._samples[shape]

    def peak(self, shape: JobShape) -> int:
        """Return the largest sample; 1 for a shape without samples."""
        return max((sample.tasks for sample in self._samples.get(shape, ())), default=1)
