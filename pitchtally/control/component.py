"""What the slices of the scheduler share."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .split import Split


class SchedulerComponent:
    """One duty of the scheduler, with its own state; it reaches the others by `split`."""

    def __init__(self, split: Split) -> None:
        self.split = split
        self.settings = split.settings
        self.policy = split.policy
        self.members = split.members
        self.job_store = split.job_store
        self.workers = split.workers
        self.types = split.types
        self.count = split.count
        self.report_s = split.report_s
