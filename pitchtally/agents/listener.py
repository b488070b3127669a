"""What the agents' side calls on the scheduler: typed interfaces in place of callbacks.

The agents know where tasks are; the scheduler decides what goes where. Each call here tells of
a fact that has become certain, in the order in which it did.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from .machine import Machine, MachineGroupKey, Placement


class AgentListener(Protocol):
    """Told of shards and placements as their state becomes known."""

    def shard_loaded(self, shard: int) -> None:
        """The machines of a shard just acquired are known, though not yet heard from."""

    def suspects_changed(self, shard: int, groups: Collection[MachineGroupKey]) -> None:
        """Only machines of these groups are still suspect: they may hold unknown tasks."""

    def shard_reconciled(self, shard: int) -> None:
        """No machine of the shard is suspect any more: every placement is known."""

    def shard_lost(self, shard: int) -> None:
        """Another controller leads the shard; its placements are none of ours."""

    def adopt(self, placement: Placement) -> bool:
        """Take in a task that an earlier leader started; False if it is to be stopped."""

    def placement_lost(self, placement: Placement, cause: str) -> None:
        """A task is certainly not on its machine any more; `cause` is an exit cause or why."""

    def task_completed(self, placement: Placement, ran: float) -> None:
        """A task has exited with success after `ran` seconds, negative if unknown."""


class TaskStarter(Protocol):
    """Chooses what starts on a machine."""

    def schedule_on(self, machine: Machine) -> list[Placement]:
        """Place pending tasks on a machine whose agent waits for its answer."""


class NoListener:
    """Stands in until the scheduler is connected."""

    def shard_loaded(self, shard: int) -> None:
        """Ignored."""

    def suspects_changed(self, shard: int, groups: Collection[MachineGroupKey]) -> None:
        """Ignored."""

    def shard_reconciled(self, shard: int) -> None:
        """Ignored."""

    def shard_lost(self, shard: int) -> None:
        """Ignored."""

    def adopt(self, placement: Placement) -> bool:
        """Every task may stay."""
        return True

    def placement_lost(self, placement: Placement, cause: str) -> None:
        """Ignored."""

    def task_completed(self, placement: Placement, ran: float) -> None:
        """Ignored."""


class NoStarter:
    """Stands in until the scheduler is connected."""

    def schedule_on(self, machine: Machine) -> list[Placement]:
        """Nothing starts."""
        return []
