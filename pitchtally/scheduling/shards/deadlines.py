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

# The share of `start_within` after which a pending job comes first. Under overload most jobs
# are pending for that long, and each early start makes another job miss its deadline: hence a
# large share, and priority for one task only.
AGING_START_WITHIN_SHARE = 0.75

# An objective for at least this share of a class is a deadline for each of its jobs.
STRICT_OBJECTIVE_SHARE = 0.95

# The share of `start_within` after which machines are reserved for a job.
RESERVATION_START_WITHIN_SHARE = 1 / 4

# Seconds added to a deadline for each objective that is missed already: jobs that can still
# meet theirs come first.
MISSED_OBJECTIVE_PENALTY_S = 1e5


class Deadlines:
    """Release times and deadlines of jobs on this controller's monotonic clock."""

    def __init__(self, context: SchedulingContext) -> None:
        self.policy = context.policy
        self.estimates = context.estimates
        self._released: dict[str, float] = {}  # job -> when it was accepted
        self.objectives: dict[str | None, list[Objective]] = {}  # by job class
        for objective in context.settings.deployment.objectives:
            self.objectives.setdefault(objective.job_class, []).append(objective)

    def job_size(self, spec: user_api.JobSpec) -> float:
        """Size of the whole job in task-seconds: w of the paper."""
        return spec.tasks * self.estimates.task(spec)

    def release_time(self, job: Job) -> float:
        """When the job was accepted, on the monotonic clock: r of the paper."""
        release = self._released.get(job.id)
        if release is None:
            release = trio.current_time() - max(0.0, time.time() - job.record.accepted_at)
            self._released[job.id] = release
        return release

    def drop(self, job_id: str) -> None:
        """Drop what is cached of a job that is over."""
        self._released.pop(job_id, None)

    def deadline(self, job: Job, target_stretch: float) -> float:
        """The deadline of a job at a stretch: the paper's equation 1, d = r + S w, bounded."""
        release = self.release_time(job)
        deadline = stretch.deadline(release, self.job_size(job.spec), target_stretch)
        return min(deadline, release + self.max_start_delay(job.spec)) + self.lateness_penalty(
            job, release
        )

    def max_start_delay(self, spec: user_api.JobSpec) -> float:
        """Seconds from release by which tasks must have started, whatever the stretch.

        The least of the job's own deadline and of strict objectives of its class. Under
        overload a stretch deadline delays the widest jobs of a class most, so that those miss
        the objective. An objective that lets many jobs miss it is served best by that order and
        doesn't count here.
        """
        task_s = self.estimates.task(spec)
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
        """Update what the priority order reads of an allocation; called once a survey."""
        now = trio.current_time()
        job = allocation.job
        allocation.size = self.job_size(allocation.spec)
        allocation.lateness_penalty = self.lateness_penalty(job, allocation.release)
        allocation.max_start_delay = self.max_start_delay(allocation.spec)
        allocation.capacity_by_group.clear()
        started = bool(allocation.placed) or job.finished.count > 0 or bool(job.local)
        pending_since = (
            allocation.pending_since
            if started
            else min(allocation.pending_since, allocation.release)
        )
        allocation.aged = now - pending_since > self.policy.start_within * AGING_START_WITHIN_SHARE

    def allocation_deadline(self, allocation: ShardAllocation, target_stretch: float) -> float:
        """Like `deadline`, from what the last `refresh` stored."""
        deadline = stretch.deadline(allocation.release, allocation.size, target_stretch)
        return (
            min(deadline, allocation.release + allocation.max_start_delay)
            + allocation.lateness_penalty
        )

    def lateness_penalty(self, job: Job, release: float) -> float:
        """Seconds that put a job behind others: for each objective that it can't meet any more."""
        spec = job.spec
        task_s = self.estimates.task(spec)
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
        """Whether a job has been pending for so long that machines are reserved for it."""
        pending_s = trio.current_time() - self.release_time(job)
        return pending_s > self.policy.start_within * RESERVATION_START_WITHIN_SHARE

    def is_overdue(self, job: Job) -> bool:
        """Whether a job that must start within one shard can't start in time any more.

        Under overload, reserving machines for a gang that is late already makes the next one
        late too. It goes behind those that may still be in time, but not indefinitely: after
        twice `start_within` it comes first again.
        """
        if job.service:
            return False  # replicas may be pending long after the service was accepted
        pending_s = trio.current_time() - self.release_time(job)
        limit_s = self.policy.start_within
        return stays_in_one_shard(job.spec) and limit_s < pending_s < 2 * limit_s
