"""Deadlines of jobs: the paper's stretch deadlines, bounded by service-level objectives.

Times are trio's clock in seconds.
"""

from __future__ import annotations

import math
import time

import trio

from ...config.settings import Objective
from ...jobs.index import Job
from ...protocol import user_api
from .. import stretch
from ..capacity import stays_in_one_shard
from ..context import SchedulingContext
from .allocations import ShardAllocation

# Share of `start_within` after which a pending job takes precedence over all others. Under
# overload most jobs are pending for that long, and each early start makes another job miss its
# deadline: hence a large share, and precedence for one task only.
AGING_START_WITHIN_SHARE = 0.75

# An objective that covers at least this share of a job class is a deadline for each of its jobs.
STRICT_OBJECTIVE_SHARE = 0.95

# Share of `start_within` after which machines are reserved for a pending job.
RESERVATION_START_WITHIN_SHARE = 1 / 4

# Added to a job's deadline for each objective that it can no longer meet, so that jobs which can
# still meet theirs are ordered first.
MISSED_OBJECTIVE_PENALTY_S = 1e5


class Deadlines:
    """Release times and deadlines of jobs on this controller's monotonic clock."""

    def __init__(self, context: SchedulingContext) -> None:
        self.policy = context.policy
        self.estimates = context.estimates
        self._released: dict[str, float] = {}  # job ID -> time of acceptance
        # Job class -> its objectives.
        self.objectives: dict[str | None, list[Objective]] = {}
        for objective in context.settings.deployment.objectives:
            self.objectives.setdefault(objective.job_class, []).append(objective)

    def job_size(self, spec: user_api.JobSpec) -> float:
        """Return the size of all tasks of a job, in task-seconds (w of the paper)."""
        return spec.tasks * self.estimates.expected_run_s(spec)

    def release_time(self, job: Job) -> float:
        """Return when the job was accepted, on the monotonic clock (r of the paper)."""
        release = self._released.get(job.id)
        if release is None:
            release = trio.current_time() - max(0.0, time.time() - job.record.accepted_at)
            self._released[job.id] = release
        return release

    def drop(self, job_id: str) -> None:
        """Drop the cached release time of a closed job."""
        self._released.pop(job_id, None)

    def deadline(self, job: Job, target_stretch: float) -> float:
        """Return a job's deadline at a stretch: the paper's equation 1, d = r + S w, bounded.

        `max_start_delay` bounds it from above; `lateness_penalty` is then added.
        """
        release = self.release_time(job)
        stretch_deadline = stretch.deadline(release, self.job_size(job.spec), target_stretch)
        return min(
            stretch_deadline, release + self.max_start_delay(job.spec)
        ) + self.lateness_penalty(job, release)

    def max_start_delay(self, spec: user_api.JobSpec) -> float:
        """Return the seconds from release by which tasks must have started at any stretch.

        This is the minimum of the job's own deadline and of the strict objectives of its class.
        Under overload, stretch deadlines delay the jobs with the most tasks of a class longest,
        and those jobs would miss a strict objective. An objective that many jobs may miss is
        ignored here: the order by stretch serves it best.
        """
        task_s = self.estimates.expected_run_s(spec)
        delays_s = [math.inf if spec.deadline is None else spec.deadline]
        delays_s.extend(
            objective.within_s - task_s
            for objective in self.objectives.get(spec.job_class, ())
            if objective.kind == "finished"
            and objective.within_s is not None
            and (objective.share or 0.0) >= STRICT_OBJECTIVE_SHARE
        )
        return max(0.0, min(delays_s))

    def refresh(self, allocation: ShardAllocation) -> None:
        """Update the fields of an allocation that depend on the time and on estimates.

        Called when the allocation is created and on each survey.
        """
        now = trio.current_time()
        job = allocation.job
        allocation.size = self.job_size(allocation.spec)
        allocation.lateness_penalty = self.lateness_penalty(job, allocation.release)
        allocation.max_start_delay = self.max_start_delay(allocation.spec)
        allocation.capacity_by_group.clear()
        started = bool(allocation.placed) or job.finished.count > 0 or bool(job.unwritten_tasks)
        pending_since = (
            allocation.pending_since
            if started
            else min(allocation.pending_since, allocation.release)
        )
        allocation.aged = now - pending_since > self.policy.start_within * AGING_START_WITHIN_SHARE

    def allocation_deadline(self, allocation: ShardAllocation, target_stretch: float) -> float:
        """Return the value of `deadline`, from the fields that the last `refresh` stored."""
        stretch_deadline = stretch.deadline(allocation.release, allocation.size, target_stretch)
        return (
            min(stretch_deadline, allocation.release + allocation.max_start_delay)
            + allocation.lateness_penalty
        )

    def lateness_penalty(self, job: Job, release: float) -> float:
        """Return the seconds added to a deadline for objectives that a job can no longer meet."""
        spec = job.spec
        task_s = self.estimates.expected_run_s(spec)
        now = trio.current_time()
        missed_objectives = 0
        for objective in self.objectives.get(spec.job_class, ()):
            if objective.kind == "wait":
                continue
            limit_s = objective.within_s
            if limit_s is None and spec.deadline is not None:
                limit_s = spec.deadline * (objective.times or 1.0)
            if limit_s is not None and now + task_s > release + limit_s:
                missed_objectives += 1
        return missed_objectives * MISSED_OBJECTIVE_PENALTY_S

    def is_reservation_due(self, job: Job) -> bool:
        """Return whether a job has been pending long enough to reserve machines for it."""
        pending_s = trio.current_time() - self.release_time(job)
        return pending_s > self.policy.start_within * RESERVATION_START_WITHIN_SHARE

    def is_overdue(self, job: Job) -> bool:
        """Return whether a job confined to one shard has missed its start time.

        Under overload, reserving machines for a gang that has missed its start time makes the
        next gang miss its own. Such a gang is ordered behind those that can still start in
        time, but only until twice `start_within` has passed.
        """
        if job.service:
            return False  # replicas may become pending long after the service was accepted
        pending_s = trio.current_time() - self.release_time(job)
        limit_s = self.policy.start_within
        return stays_in_one_shard(job.spec) and limit_s < pending_s < 2 * limit_s
