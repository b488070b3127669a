"""Stored quota shares: the division of each team's quota limit among shards.

In format 1 one value holds all teams. Since format 2 each team has its own key, which takes
precedence once it exists. A late write in format 1 can change only the old value, so it changes
nothing for a team that has its own key. For a team without one, the old value still applies, so
its version is a precondition of every change.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from ..state_store import keys
from ..state_store.client import Write
from ..state_store.replica import Replica
from .gate import FormatGate


class ShardQuotaShare(NamedTuple):
    """A shard's share of a team's quota limit; stored as an array of two."""

    cpus: float
    gpus: float


_decode_all = msgspec.json.Decoder(dict[str, list[ShardQuotaShare]]).decode
_decode_team = msgspec.json.Decoder(list[ShardQuotaShare]).decode
_encode = msgspec.json.encode


class QuotaShares:
    """Quota shares by team and shard, from this controller's replica."""

    def __init__(self, replica: Replica, gate: FormatGate):
        self._replica = replica
        self._gate = gate
        self._format_1: dict[str, list[ShardQuotaShare]] = {}
        self._by_key: dict[str, list[ShardQuotaShare]] = {}
        replica.listen(keys.QUOTA_SHARES_PREFIX, self._on_record)

    def _on_record(self, suffix: str, value: bytes | None, version: int) -> None:
        key = keys.absolute(keys.QUOTA_SHARES_PREFIX, suffix)
        if not suffix:
            self._format_1 = {} if value is None else _decode_all(value)
        elif value is None:
            self._by_key.pop(key, None)
        else:
            self._by_key[key] = _decode_team(value)

    def of(self, team: str) -> list[ShardQuotaShare] | None:
        """Return a team's share in each shard; None while all shards have equal shares."""
        return self._by_key.get(keys.quota_shares(team)) or self._format_1.get(team)

    def change(self, team: str, shares: Sequence[tuple[float, float]]) -> Write:
        """Return the write that sets a team's shares: (CPUs, GPUs) for each shard."""
        key = keys.quota_shares(team) if self._gate.open else keys.QUOTA_SHARES
        return Write(key, self._value(key, team, shares))

    def versions(self, team: str) -> dict[str, int]:
        """Return the expected versions that make a change of a team's shares conditional."""
        read_keys = [keys.QUOTA_SHARES]
        if self._gate.open:
            read_keys.append(keys.quota_shares(team))
        return {key: self._replica.version(key) for key in read_keys}

    def unchanged(self, key: str, team: str, shares: list[ShardQuotaShare]) -> bytes:
        """Return the value that keeps a team's shares unchanged; `shares` if it has no record."""
        return self._value(key, team, self.of(team) or shares)

    def _value(self, key: str, team: str, shares: Sequence[tuple[float, float]]) -> bytes:
        if key == keys.QUOTA_SHARES:
            return _encode({**self._format_1, team: shares})
        return _encode(shares)
