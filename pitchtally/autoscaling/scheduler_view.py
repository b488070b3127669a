"""What autoscaling reads of the scheduler."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from ..membership.messages import MachineStatus, ShardStatus
from ..protocol import user_api
from ..state_store.identifiers import ShardId


@dataclass(frozen=True, slots=True)
class SchedulerView:
    """Read-only access to the scheduler, one function for each question."""

    shard_statuses: Callable[[], Mapping[ShardId, ShardStatus]]  # newest status of every shard
    status_received_at: Callable[[ShardId], float | None]  # by shard; None: never by a peer
    leads_shard: Callable[[ShardId], bool]  # whether this node leads it
    running_tasks: Callable[[str], int]  # of a job, on machines known here
    tasks_within_limit: Callable[[user_api.JobSpec], int]  # that the team's limit still allows
    slack: Callable[[user_api.JobSpec], float]  # seconds that a job may wait
    task_seconds: Callable[[user_api.JobSpec], float]  # expected length of one task
    recent_specs: Callable[[], Iterable[user_api.JobSpec]]  # one of each job shape seen lately

    def machine_statuses(self) -> dict[str, MachineStatus]:
        """Every machine that any shard leader reports, by name."""
        return {
            machine.name: machine
            for status in self.shard_statuses().values()
            for machine in status.machines
        }
