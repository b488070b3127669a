"""Controllers as the state store shows them: one record for each that holds a session lease."""

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
    # Reaches the store but not its machines. Stored under the name of earlier versions.
    agents_unreachable: bool = msgspec.field(default=False, name="deaf")
    reads: int = FIRST_FORMAT  # the newest stored format that it can read


_decode_node = msgspec.json.Decoder(NodeRecord).decode


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Which node this is, and which process of it."""

    name: str
    incarnation: str

    @classmethod
    def of_new_process(cls, name: str) -> NodeIdentity:
        """An identity that no earlier process of the node had.

        Unlike a time or a counter, a random number cannot repeat after a restart without a disk.
        """
        number = random.SystemRandom().getrandbits(_INCARNATION_BITS)
        return cls(name, f"{number:016x}")


class LiveNodes:
    """The records of all live nodes, followed from the state store."""

    def __init__(
        self, names: Sequence[str], replica: Replica, share_rate_limits: Callable[[int], None]
    ):
        """`names`: every configured node.

        `share_rate_limits` is told how many nodes share the store's rate limits, whenever one
        appears or vanishes.
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
        # A node that is starting is not listed yet, so at least one share is left for it.
        self._share_rate_limits(min(len(self.names), len(self.alive) + 1))
