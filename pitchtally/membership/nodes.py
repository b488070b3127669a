"""Node records in the state store: one for each controller that holds a session lease."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec
from msgspec import Struct

from ..formats.gate import FIRST_FORMAT
from ..state_store import keys
from ..state_store.replica import Replica

_INCARNATION_BITS = 64


class NodeRecord(Struct, frozen=True):
    """The record of a live node, bound to its session lease."""

    incarnation: str
    # The node reaches the store but not its agents. The stored name is that of earlier versions.
    agents_unreachable: bool = msgspec.field(default=False, name="deaf")
    reads: int = FIRST_FORMAT  # the newest stored format that the node can read


_decode_node = msgspec.json.Decoder(NodeRecord).decode


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """A node, and the process that runs as this node."""

    name: str
    incarnation: str

    @classmethod
    def of_new_process(cls, name: str) -> NodeIdentity:
        """Return an identity that no earlier process of the node had.

        The incarnation is random: a time or a counter could repeat after a restart without a
        disk.
        """
        number = random.SystemRandom().getrandbits(_INCARNATION_BITS)
        return cls(name, f"{number:016x}")


class LiveNodes:
    """The records of all live nodes, kept up to date from the replica."""

    def __init__(
        self, names: Sequence[str], replica: Replica, share_rate_limits: Callable[[int], None]
    ):
        """Initialise with the names of all configured nodes.

        `share_rate_limits` is called with the number of nodes that share the store's rate limits
        whenever a node record changes.
        """
        self.names = names
        self.alive: dict[str, NodeRecord] = {}
        self._share_rate_limits = share_rate_limits
        replica.listen(keys.NODE_PREFIX, self._on_node)

    def _on_node(self, name: str, value: bytes | None, version: int) -> None:
        if value is None:
            self.alive.pop(name, None)
        else:
            self.alive[name] = _decode_node(value)
        # A starting node has no record yet, so one share is reserved for it.
        self._share_rate_limits(min(len(self.names), len(self.alive) + 1))
