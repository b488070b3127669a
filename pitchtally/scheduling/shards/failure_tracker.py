"""What failed tasks tell of jobs and machines: back-off of the one, quarantine of the other."""

from __future__ import annotations

import logging

import trio

from ...agents.machine import Machine, Placement
from ...jobs.job_record import DONE
from ...protocol import agent_api
from ..context import SchedulingContext
from .allocations import ShardAllocation, ShardState
from .failure_attribution import Standing, is_unhealthy, standing

log = logging.getLogger(__name__)

# Report intervals between two tries of what ends at once again and again, at the most.
LONGEST_BACKOFF = 16.0


class FailureTracker:
    """Attributes failures to jobs or machines, and holds back whichever is at fault."""

    def __init__(
        self,
        context: SchedulingContext,
    ) -> None:
        self.policy = context.policy
        self.job_index = context.job_index
        self.agents = context.agents
        self.agent_heartbeat_s = context.agent_heartbeat_s

    def replica_ended(self, allocation: ShardAllocation, placement: Placement, cause: str) -> None:
        """Back off where replicas end by themselves again and again; forgive what ran long."""
        now = trio.current_time()
        if cause not in (agent_api.DONE, agent_api.ERROR):
            return
        ran = now - placement.running_since if placement.running_since is not None else 0.0
        if ran >= self.policy.unhealthy_rest:
            # Whatever ended it, it isn't that the job, or the machine, fails each start.
            allocation.short_runs = 0
            allocation.failed_on.clear()
            allocation.failed_after = 0.0
        elif cause == agent_api.DONE:
            allocation.short_runs += 1
            pause = self.agent_heartbeat_s * min(2.0**allocation.short_runs, LONGEST_BACKOFF)
            if allocation.short_runs > 1:
                allocation.not_before = now + pause

    def task_failed(
        self, work: ShardState, allocation: ShardAllocation, placement: Placement
    ) -> None:
        """Whose fault it was, by all that is known: the job waits, or the machine rests."""
        now = trio.current_time()
        machine = placement.machine
        allocation.failed_on[machine.name] = now
        if placement.running_since is not None:
            allocation.failed_after = max(allocation.failed_after, now - placement.running_since)
        self.score(allocation)
        if not allocation.faulty:
            self._judge(work, machine)
            return
        if allocation.not_before <= now:
            # One failure a try: those that started together count once.
            allocation.probes += 1
            pause = self.agent_heartbeat_s * min(2.0**allocation.probes, LONGEST_BACKOFF)
            allocation.not_before = now + pause
            log.info(
                "job fails wherever it goes job=%s machines=%d pause=%.1f",
                allocation.job.id,
                len(allocation.failed_on),
                pause,
            )
        for name in allocation.failed_on:
            other = self.agents.machines.get(name)
            if other is not None and other.failures_by_job.pop(allocation.job.id, None) is not None:
                other.last_failure_at.pop(allocation.job.id, None)
                if other.quarantined_until > now and not self._is_unhealthy(work, other):
                    other.quarantined_until = -1e9

    def score(self, allocation: ShardAllocation) -> None:
        """Work out a job's standing anew; one that has never failed needs none."""
        if allocation.failed_on:
            allocation.faulty = self._standing(allocation) is Standing.FAULTY

    def _standing(self, allocation: ShardAllocation) -> Standing:
        now = trio.current_time()
        return standing(
            bool(allocation.job.finished.count or allocation.job.local),
            len(allocation.failed_on),
            allocation.failed_after,
            [
                now - p.running_since
                for p in allocation.placed.values()
                if p.running_since is not None
            ],
            self.agent_heartbeat_s * 2,
        )

    def _is_unhealthy(self, work: ShardState, machine: Machine) -> bool:
        jobs = {}
        failures = {}
        for id, count in machine.failures_by_job.items():
            job, allocation = self.job_index.jobs.get(id), work.allocations.get(id)
            if job is None or (not job.open and job.record.stage != DONE):
                continue  # its user has cancelled it, as one does with a mistake
            failures[id] = count
            if allocation is not None:
                jobs[id] = self._standing(allocation)
            else:
                done = not job.open or bool(job.finished.count or job.local)
                jobs[id] = Standing.GOOD if done else Standing.UNKNOWN
        return is_unhealthy(failures, jobs)

    def _judge(self, work: ShardState, machine: Machine) -> None:
        if not self._is_unhealthy(work, machine):
            return
        now = trio.current_time()
        if machine.quarantined_until < now:
            log.info(
                "machine rests machine=%s jobs=%d errors=%d",
                machine.name,
                len(machine.failures_by_job),
                machine.consecutive_errors,
            )
        machine.quarantined_until = now + self.policy.unhealthy_rest
