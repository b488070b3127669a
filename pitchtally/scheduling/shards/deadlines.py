"""When jobs are due: the paper's stretch deadlines, objectives, and long waits."""

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

# The share of `start_within` after which a job goes first. In a flood beyond a team's
# limit most jobs wait that long, and what they take early others miss their deadlines by:
# hence late, and for one task only.
AGED = 0.75

# An aim for at least this share of a class is a deadline for each of its jobs.
STRICT = 0.95


class Deadlines:
    """Release times and deadlines of jobs on this controller's monotonic clock."""

    def __init__(self, context: SchedulingContext) -> None:
        self.policy = context.policy
        self.estimates = context.estimates
        self._released: dict[str, float] = {}  # job -> acceptance on our steady clock
        self.aims: dict[str | None, list[Objective]] = {}  # by class
        for aim in context.settings.deployment.objectives:
            self.aims.setdefault(aim.job_class, []).append(aim)

    def size(self, spec: user_api.JobSpec) -> float:
        """w of the paper: the whole size of a job, in task-seconds."""
        return spec.tasks * self.estimates.task(spec)

    def release(self, job: Job) -> float:
        """The job's acceptance on this node's steady clock."""
        found = self._released.get(job.id)
        if found is None:
            found = trio.current_time() - max(0.0, time.time() - job.record.at)
            self._released[job.id] = found
        return found

    def forget(self, job_id: str) -> None:
        """Drop the release time of a job that is over."""
        self._released.pop(job_id, None)

    def due(self, job: Job, level: float) -> float:
        """When a job is due at a stretch, aims and lateness counted."""
        release = self.release(job)
        due = stretch.deadline(release, self.size(job.spec), level)
        return min(due, release + self.bound(job.spec)) + self.lateness(job, release)

    def bound(self, spec: user_api.JobSpec) -> float:
        """Seconds from release by which tasks must have begun, whatever the stretch says.

        The leader's deadline, and an aim that lets hardly any job miss it. By stretch
        the widest jobs of a class wait longest in a flood, and are the ones to miss; an
        aim that lets many miss is served best just so, and doesn't count here.
        """
        task = self.estimates.task(spec)
        found = [math.inf if spec.deadline is None else spec.deadline]
        found.extend(
            aim.within_s - task
            for aim in self.aims.get(spec.job_class, ())
            if aim.kind == "finished" and aim.within_s is not None and (aim.share or 0.0) >= STRICT
        )
        return max(0.0, min(found))

    def renew(self, allocation: ShardAllocation) -> None:
        """What the order needs of a job and changes slowly: once a survey."""
        now = trio.current_time()
        job = allocation.job
        allocation.size = self.size(allocation.spec)
        allocation.late = self.lateness(job, allocation.release)
        allocation.bound = self.bound(allocation.spec)
        allocation.capacity_in.clear()
        begun = bool(allocation.placed) or job.finished.count > 0 or bool(job.local)
        waits_since = allocation.since if begun else min(allocation.since, allocation.release)
        allocation.aged = now - waits_since > self.policy.start_within * AGED

    def due_of(self, allocation: ShardAllocation, level: float) -> float:
        """`due`, from what the last survey found."""
        due = stretch.deadline(allocation.release, allocation.size, level)
        return min(due, allocation.release + allocation.bound) + allocation.late

    def lateness(self, job: Job, release: float) -> float:
        """Added for each aim that the job can't meet any more."""
        spec = job.spec
        task = self.estimates.task(spec)
        now = trio.current_time()
        missed = 0
        for aim in self.aims.get(spec.job_class, ()):
            if aim.kind == "wait":
                continue
            limit = aim.within_s
            if limit is None and spec.deadline is not None:
                limit = spec.deadline * (aim.times or 1.0)
            if limit is not None and now + task > release + limit:
                missed += 1
        return missed * 1e5

    def late(self, job: Job) -> bool:
        """Whether a job has waited so long that room must be kept for it."""
        waited = trio.current_time() - self.release(job)
        return waited > self.policy.start_within / 4

    def overdue(self, job: Job) -> bool:
        """Whether a job that stays whole can't begin in time any more.

        Where there is more work than room, keeping room for a whole gang that is late
        already makes the next one late too. It goes behind those that may be in time, but
        not for ever: after twice what users bear it comes first again.
        """
        if job.service:
            return False  # what it lacks now says nothing of when it was accepted
        waited = trio.current_time() - self.release(job)
        limit = self.policy.start_within
        return stays_in_one_shard(job.spec) and limit < waited < 2 * limit
