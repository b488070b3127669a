"""The read-only view of the scheduler that autoscaling uses."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from ..membership.messages import MachineStatus, ShardStatus
from ..protocol import user_api
from ..state_store.identifiers import ShardId


@dataclass(frozen=True, slots=True)
class SchedulerView:
    """Read-only access to the scheduler, with one function per query."""

    shard_statuses: Callable[[], Mapping[ShardId, ShardStatus]]  # latest status of every shard
    status_received_at: Callable[
        [ShardId], float | None
    ]  # steady clock; None if never received from a peer
    leads_shard: Callable[[ShardId], bool]  # whether this node leads the shard
    running_tasks: Callable[[str], int]  # tasks of a job, as far as statuses show
    tasks_within_limit: Callable[
        [user_api.JobSpec], int
    ]  # further tasks that the team's limit allows
    slack: Callable[[user_api.JobSpec], float]  # seconds that a job may wait and meet its objective
    task_seconds: Callable[[user_api.JobSpec], float]  # expected duration of one task
    recent_specs: Callable[[], Iterable[user_api.JobSpec]]  # one job of each recent shape

    def machine_statuses(self) -> dict[str, MachineStatus]:
        """Return the machines reported by all shard leaders, by name."""
        return {
            machine.name: machine
            for status in self.shard_statuses().values()
            for machine in status.machines
        }
