"""What the slices of the scheduler share."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .scheduler import Scheduler


class SchedulerComponent:
    """One duty of the scheduler, with its own state; it reaches the others by `scheduler`."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.settings = scheduler.settings
        self.policy = scheduler.policy
        self.membership = scheduler.membership
        self.job_index = scheduler.job_index
        self.agents = scheduler.agents
        self.types = scheduler.types
        self.count = scheduler.count
        self.report_s = scheduler.report_s
