"""What the agents' side asks of other packages: typed interfaces in place of callbacks.

The agents know where tasks are; the scheduler decides what goes where. Each call of
`AgentListener` tells of a fact that has become certain, in the order in which it did.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import StrEnum
from typing import Protocol

from .machine import Machine, MachineGroupKey, Placement


class LossCause(StrEnum):
    """Why a task is certainly not on its machine, where the agent reports no exit."""

    MISSING = "missing"  # the agent does not list it any more
    NEW_EPOCH = "epoch"  # the agent's lease expired on its side, which ended all its tasks
    LEASE_EXPIRED = "lease"  # the lease expired on our side
    TERMINATED = "terminated"  # the cloud has confirmed that the machine is gone
    NOT_COMMANDED = "not_commanded"  # its start was never sent


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
        """A task is certainly not on its machine any more.

        `cause` is the exit cause that the agent reported, or a `LossCause`.
        """

    def task_completed(self, placement: Placement, ran: float) -> None:
        """A task has exited with success after `ran` seconds, negative if unknown."""


class TaskStarter(Protocol):
    """Chooses what starts on a machine."""

    def schedule_on(self, machine: Machine) -> list[Placement]:
        """Place pending tasks on a machine whose agent waits for its response."""


class Leadership(Protocol):
    """Which shards this node leads, under which fencing tokens."""

    @property
    def node_name(self) -> str:
        """The name of this node."""

    def token(self, shard: int) -> int | None:
        """This node's fencing token for a shard, None if it isn't the leader."""

    def leader(self, shard: int) -> str | None:
        """The node that leads a shard, as far as the replica shows."""

    def observe_token(self, shard: int, token: int) -> None:
        """An agent knows this token: if it is newer than ours, we are deposed."""


class Freshness(Protocol):
    """How recent what this node concludes from is; times are trio's clock."""

    def may_start_tasks(self) -> bool:
        """Whether what is known of cancellations is recent enough to start tasks on."""

    def cancellations_stale(self) -> bool:
        """Whether a cancellation may be unknown for too long to renew leases."""

    def leadership_verified_at(self) -> float:
        """Up to when nobody else can have renewed a lease in a shard that we lead."""

    def resumed_at(self) -> float:
        """When this process last went on after a pause."""


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


class SchedulerConnection:
    """The scheduler as the agents' components reach it; it is built after them."""

    __slots__ = ("listener", "starter")

    def __init__(self) -> None:
        self.listener: AgentListener = NoListener()
        self.starter: TaskStarter = NoStarter()
