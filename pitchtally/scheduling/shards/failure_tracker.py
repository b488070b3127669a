"""Back-off of faulty jobs and quarantine of unhealthy machines, after failure attribution."""

from __future__ import annotations

import logging

import trio

from ...agents.machine import Machine, Placement
from ...config.clock import LONG_AGO_S
from ...jobs.job_record import DONE
from ...protocol import agent_api
from ..context import SchedulingContext
from .allocations import ShardAllocation, ShardState
from .failure_attribution import JobHealth, classify_job, is_unhealthy

log = logging.getLogger(__name__)

# Upper bound of the exponential back-off, in agent heartbeat intervals.
MAX_BACKOFF_INTERVALS = 16.0


class FailureTracker:
    """Attributes failures to jobs, which it backs off, or machines, which it quarantines."""

    def __init__(
        self,
        context: SchedulingContext,
    ) -> None:
        self.policy = context.policy
        self.job_index = context.job_index
        self.agents = context.agents
        self.agent_heartbeat_s = context.agent_heartbeat_s

    def replica_ended(self, allocation: ShardAllocation, placement: Placement, cause: str) -> None:
        """Back off a service whose replicas exit soon after each start; reset after a long run."""
        now = trio.current_time()
        if cause not in (agent_api.DONE, agent_api.ERROR):
            return
        ran_s = now - placement.running_since if placement.running_since is not None else 0.0
        if ran_s >= self.policy.unhealthy_rest:
            # After a long run, neither the job nor the machine is failing at each start.
            allocation.consecutive_short_runs = 0
            allocation.failed_on.clear()
            allocation.machines_blamed.clear()
            allocation.longest_failed_run_s = 0.0
        elif cause == agent_api.DONE:
            allocation.consecutive_short_runs += 1
            backoff_s = self.agent_heartbeat_s * min(
                2.0**allocation.consecutive_short_runs, MAX_BACKOFF_INTERVALS
            )
            if allocation.consecutive_short_runs > 1:
                allocation.not_before = now + backoff_s

    def task_failed(
        self, state: ShardState, allocation: ShardAllocation, placement: Placement
    ) -> None:
        """Back off the job of a failed task, or quarantine the machine, whichever is at fault."""
        now = trio.current_time()
        machine = placement.machine
        first_on_machine = machine.name not in allocation.failed_on
        allocation.failed_on[machine.name] = now
        allocation.machines_blamed.add(machine.name)
        if placement.running_since is not None:
            allocation.longest_failed_run_s = max(
                allocation.longest_failed_run_s, now - placement.running_since
            )
        if allocation.has_finished_task or (first_on_machine and not allocation.faulty):
            # What time and longer failed runs change, the next survey finds: to read all running
            # tasks for each of them that fails would take too long.
            self.reclassify(allocation)
        if not allocation.faulty:
            self._quarantine_if_unhealthy(state, machine)
            return
        self._back_off(allocation, now)
        self._exonerate_machines(state, allocation, now)

    def _back_off(self, allocation: ShardAllocation, now: float) -> None:
        """Delay the next retry of a faulty job; tasks that failed together count as one retry."""
        if allocation.not_before > now:
            return
        allocation.probe_count += 1
        backoff_s = self.agent_heartbeat_s * min(2.0**allocation.probe_count, MAX_BACKOFF_INTERVALS)
        allocation.not_before = now + backoff_s
        log.info(
            "faulty job backed off job=%s machines=%d backoff=%.1f",
            allocation.job.id,
            len(allocation.failed_on),
            backoff_s,
        )

    def _exonerate_machines(
        self, state: ShardState, allocation: ShardAllocation, now: float
    ) -> None:
        """Take a faulty job's failures off its machines, and end quarantines that rest on them."""
        job_id = allocation.job.id
        for name in allocation.machines_blamed:
            machine = self.agents.machines.get(name)
            if machine is None or machine.failures_by_job.pop(job_id, None) is None:
                continue
            machine.last_failure_at.pop(job_id, None)
            if machine.quarantined_until > now and not self._is_unhealthy(state, machine):
                machine.quarantined_until = LONG_AGO_S
        allocation.machines_blamed.clear()

    def reclassify(self, allocation: ShardAllocation) -> None:
        """Classify a job with failures anew; this reads all its running tasks."""
        if not allocation.failed_on:
            return
        now = trio.current_time()
        allocation.classified_as = classify_job(
            allocation.has_finished_task,
            len(allocation.failed_on),
            allocation.longest_failed_run_s,
            (
                now - running_placement.running_since
                for running_placement in allocation.placed.values()
                if running_placement.running_since is not None
            ),
            self.agent_heartbeat_s * 2,
        )

    @staticmethod
    def _health(allocation: ShardAllocation) -> JobHealth:
        """Return a job's health: good once a task has finished, else as last classified."""
        if allocation.has_finished_task:
            return JobHealth.GOOD
        return allocation.classified_as if allocation.failed_on else JobHealth.UNKNOWN

    def _is_unhealthy(self, state: ShardState, machine: Machine) -> bool:
        health: dict[str, JobHealth] = {}
        failures: dict[str, int] = {}
        for id, count in machine.failures_by_job.items():
            job, allocation = self.job_index.jobs.get(id), state.allocations.get(id)
            if job is None or (not job.open and job.record.stage != DONE):
                continue  # probably cancelled by its user because of a mistake in the job
            failures[id] = count
            if allocation is not None:
                health[id] = self._health(allocation)
            else:
                has_finished_task = not job.open or bool(job.finished.count or job.unwritten_tasks)
                health[id] = JobHealth.GOOD if has_finished_task else JobHealth.UNKNOWN
        return is_unhealthy(failures, health)

    def _quarantine_if_unhealthy(self, state: ShardState, machine: Machine) -> None:
        if not self._is_unhealthy(state, machine):
            return
        now = trio.current_time()
        if machine.quarantined_until < now:
            log.info(
                "machine quarantined machine=%s jobs=%d errors=%d",
                machine.name,
                len(machine.failures_by_job),
                machine.consecutive_errors,
            )
        machine.quarantined_until = now + self.policy.unhealthy_rest
