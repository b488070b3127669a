"""Processing of task exits: the effects on the machine's failure counts and on the job."""

from __future__ import annotations

import logging

import trio

from ...protocol import agent_api
from ..commands.task_control import TaskControl
from ..listener import SchedulerConnection
from ..machine import Machine, Placement

log = logging.getLogger(__name__)


def record_success(machine: Machine) -> None:
    """Clear the machine's failure counts: a success shows that the machine works."""
    machine.failures_by_job.clear()
    machine.last_failure_at.clear()
    machine.consecutive_errors = 0


def record_failure(machine: Machine, job_id: str, now: float) -> None:
    """Count a failure of one of the job's tasks on the machine."""
    machine.consecutive_errors += 1
    machine.failures_by_job[job_id] = machine.failures_by_job.get(job_id, 0) + 1
    machine.last_failure_at[job_id] = now


class ExitHandler:
    """Processes the exits of placed tasks, each of them once."""

    def __init__(self, task_control: TaskControl, scheduler: SchedulerConnection):
        self._task_control = task_control
        self._scheduler = scheduler

    def handle(self, placement: Placement, cause: str) -> None:
        """Process a task's exit; `cause` is reported by the agent, and may be an unknown value."""
        now = trio.current_time()
        machine, job = placement.machine, placement.job
        if cause == agent_api.DONE and placement.spec.is_service:
            # A service replica should not exit: this neither completes a task nor clears failures.
            log.info("replica exited task=%s machine=%s", placement.key, machine.name)
        elif cause == agent_api.DONE:
            record_success(machine)
            self._notify_completed(placement, now)
        elif cause == agent_api.ERROR:
            record_failure(machine, job.id, now)
            log.info("task failed task=%s machine=%s", placement.key, machine.name)
        elif cause != agent_api.STOPPED:
            log.info("task exited task=%s machine=%s cause=%s", placement.key, machine.name, cause)
        self._task_control.remove(placement, cause)

    def _notify_completed(self, placement: Placement, now: float) -> None:
        started_at = placement.running_since
        run_seconds = now - started_at if started_at is not None else -1.0
        if placement.job.open:
            self._scheduler.listener.task_completed(placement, run_seconds)
