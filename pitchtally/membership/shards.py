"""Shards: assignment of machines to shards, the shard leader's record, preferred leaders.

A machine's shard follows from its name alone, so all controllers agree on it without
communication. Each shard has a home node, and an order in which other nodes replace it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from msgspec import Struct

from ..state_store.identifiers import FencingToken, ShardId
from .nodes import NodeRecord

# The leader of this shard is the cluster leader.
CLUSTER_LEADER_SHARD: ShardId = 0

# Longer numbers may exceed the integers of other languages, so they are treated as text.
_MAX_NUMBER_DIGITS = 18


class ShardLeader(Struct, frozen=True):
    """The stored record of a shard: the node that leads it, and the node's incarnation."""

    node: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class ShardLease:
    """A shard's leader, and the version of its record, which is the fencing token."""

    leader: ShardLeader
    token: FencingToken


def shard_of(machine: str, count: int) -> ShardId:
    """Return the shard, out of `count`, to which a machine belongs.

    It is the number at the end of the name modulo `count`; for a name without one, the sum of
    its bytes takes the place of the number.
    """
    digits = machine.rpartition("-")[2]
    numbered = digits.isdigit() and len(digits) <= _MAX_NUMBER_DIGITS
    number = int(digits) if numbered else sum(machine.encode())
    return number % count


def leader_preference(nodes: Sequence[str], shard: ShardId) -> list[str]:
    """Return the nodes in the order in which they should lead a shard, its home node first."""
    start = shard % len(nodes)
    return [*nodes[start:], *nodes[:start]]


def preferred_leader(
    nodes: Sequence[str], alive: Mapping[str, NodeRecord], shard: ShardId
) -> str | None:
    """Return the live node that should lead a shard, None if no node is live.

    A node that cannot reach its agents is chosen only if no other live node can reach its own.
    """
    order = leader_preference(nodes, shard)
    for accept_unreachable in (False, True):
        for name in order:
            node = alive.get(name)
            if node is not None and (accept_unreachable or not node.agents_unreachable):
                return name
    return None
