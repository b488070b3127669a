"""Shards of the fleet: the record of a shard's leader, and who should lead which.

A machine belongs to the shard that its name gives, so every controller agrees on it without
asking. Each shard has a home node, and an order in which other nodes stand in for it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from msgspec import Struct

from ..state_store.identifiers import FencingToken, ShardId
from .nodes import NodeRecord

# Whoever leads this shard is the cluster leader.
CLUSTER_LEADER_SHARD: ShardId = 0

# Longer numbers may not fit the integers of other languages, so they are treated as text.
_MAX_NUMBER_DIGITS = 18


class ShardLeader(Struct, frozen=True):
    """The stored record of a shard: which process of which node leads it."""

    node: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class ShardLease:
    """A shard's leader with the fencing token that its record's version gives it."""

    leader: ShardLeader
    token: FencingToken


def shard_of(machine: str, count: int) -> ShardId:
    """The shard, of `count`, to which a machine belongs.

    The number at the end of its name decides; any other name is spread by its bytes.
    """
    digits = machine.rpartition("-")[2]
    numbered = digits.isdigit() and len(digits) <= _MAX_NUMBER_DIGITS
    number = int(digits) if numbered else sum(machine.encode())
    return number % count


def leader_preference(nodes: Sequence[str], shard: ShardId) -> list[str]:
    """The order in which nodes should lead a shard: its home first."""
    start = shard % len(nodes)
    return [*nodes[start:], *nodes[:start]]


def preferred_leader(
    nodes: Sequence[str], alive: Mapping[str, NodeRecord], shard: ShardId
) -> str | None:
    """The live node that should lead a shard, None if no node lives.

    A node that cannot reach its agents leads only if nobody else can.
    """
    order = leader_preference(nodes, shard)
    for accept_unreachable in (False, True):
        for name in order:
            node = alive.get(name)
            if node is not None and (accept_unreachable or not node.agents_unreachable):
                return name
    return None
