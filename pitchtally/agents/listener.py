"""Interfaces that the agent components require of other packages.

This package tracks where tasks are, and the scheduler decides where they start. Calls of
`AgentListener` report confirmed changes, in the order in which they were confirmed.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import StrEnum
from typing import Protocol

from .machine import Machine, MachineGroupKey, Placement


class LossCause(StrEnum):
    """Why a task is confirmed as gone from its machine without an exit reported by the agent."""

    MISSING = "missing"  # the agent no longer lists it
    NEW_EPOCH = "epoch"  # the agent's lease expired on the agent's side, which ended all its tasks
    LEASE_EXPIRED = "lease"  # the lease expired on the controller's side
    TERMINATED = "terminated"  # the cloud has confirmed that the machine is gone
    NOT_COMMANDED = "not_commanded"  # its start was never sent


class AgentListener(Protocol):
    """Receives changes of the shards that this node leads, and of their placements."""

    def shard_loaded(self, shard: int) -> None:
        """Handle an acquired shard whose recorded machines were read, but have not reported yet."""

    def suspects_changed(self, shard: int, groups: Collection[MachineGroupKey]) -> None:
        """Handle a change of the machine groups with suspects, which may hold unknown tasks."""

    def shard_reconciled(self, shard: int) -> None:
        """Handle a shard without suspect machines: all its placements are known."""

    def shard_lost(self, shard: int) -> None:
        """Handle the loss of a shard, whose placements have been discarded."""

    def adopt(self, placement: Placement) -> bool:
        """Adopt a task that an earlier leader started; return False to have it stopped."""

    def placement_lost(self, placement: Placement, cause: str) -> None:
        """Handle a task that is confirmed as gone from its machine.

        `cause` is the exit cause that the agent reported, or a `LossCause`.
        """

    def task_completed(self, placement: Placement, run_s: float) -> None:
        """Handle a task that succeeded after `run_s` seconds (negative if unknown)."""


class TaskStarter(Protocol):
    """Chooses the tasks that start on a machine."""

    def schedule_on(self, machine: Machine) -> list[Placement]:
        """Place pending tasks on a machine whose agent is waiting for a heartbeat response."""


class Leadership(Protocol):
    """Which shards this node leads, under which fencing tokens."""

    @property
    def node_name(self) -> str:
        """The name of this node."""

    def token(self, shard: int) -> int | None:
        """Return this node's fencing token for a shard, or None if it does not lead it."""

    def leader(self, shard: int) -> str | None:
        """Return the leader of a shard according to the replica, or None."""

    def observe_token(self, shard: int, token: int) -> None:
        """Process a token sent by an agent; one newer than this node's ends its leadership."""


class Freshness(Protocol):
    """How recently this node verified its state; times are on trio's clock, in seconds."""

    def may_start_tasks(self) -> bool:
        """Return whether cancellations were verified recently enough to start tasks."""

    def cancellations_stale(self) -> bool:
        """Return whether cancellations were verified too long ago to renew leases."""

    def leadership_verified_at(self) -> float:
        """Return the time up to which no other node can have renewed a lease in a led shard."""

    def resumed_at(self) -> float:
        """Return when this process last resumed after a pause."""


class NoListener:
    """Listener that ignores all changes; used until the scheduler is connected."""

    def shard_loaded(self, shard: int) -> None:
        """Do nothing."""

    def suspects_changed(self, shard: int, groups: Collection[MachineGroupKey]) -> None:
        """Do nothing."""

    def shard_reconciled(self, shard: int) -> None:
        """Do nothing."""

    def shard_lost(self, shard: int) -> None:
        """Do nothing."""

    def adopt(self, placement: Placement) -> bool:
        """Let the task continue."""
        return True

    def placement_lost(self, placement: Placement, cause: str) -> None:
        """Do nothing."""

    def task_completed(self, placement: Placement, run_s: float) -> None:
        """Do nothing."""


class NoStarter:
    """Starter that starts nothing; used until the scheduler is connected."""

    def schedule_on(self, machine: Machine) -> list[Placement]:
        """Return no placements."""
        return []


class SchedulerConnection:
    """Holds the scheduler for the agent components, which are constructed before it."""

    __slots__ = ("listener", "starter")

    def __init__(self) -> None:
        self.listener: AgentListener = NoListener()
        self.starter: TaskStarter = NoStarter()
