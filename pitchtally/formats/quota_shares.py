"""How a team's limit is divided among shards: the record of it in the state store.

In format 1 one value holds all teams; since format 2 each team has a key of its own, which
then counts alone. A write of the old form that arrives late can change the old value only, so
it changes nothing for a team that has its own key; until a team has one, the old value's
version is a precondition of every change.
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
    """A shard's part of a team's limit; stored as an array of two."""

    cpus: float
    gpus: float


_decode_all = msgspec.json.Decoder(dict[str, list[ShardQuotaShare]]).decode
_decode_team = msgspec.json.Decoder(list[ShardQuotaShare]).decode
_encode = msgspec.json.encode


class QuotaShares:
    """Quota shares by team and shard, as this controller's replica shows them."""

    def __init__(self, replica: Replica, gate: FormatGate):
        self._replica = replica
        self._gate = gate
        self._format_1: dict[str, list[ShardQuotaShare]] = {}
        self._by_key: dict[str, list[ShardQuotaShare]] = {}
        replica.listen(keys.QUOTA_SHARES_PREFIX, self._on_record)

    def _on_record(self, rest: str, value: bytes | None, version: int) -> None:
        key = keys.absolute(keys.QUOTA_SHARES_PREFIX, rest)
        if not rest:
            self._format_1 = {} if value is None else _decode_all(value)
        elif value is None:
            self._by_key.pop(key, None)
        else:
            self._by_key[key] = _decode_team(value)

    def of(self, team: str) -> list[ShardQuotaShare] | None:
        """A team's share in each shard; None while every shard has an equal one."""
        return self._by_key.get(keys.quota_shares(team)) or self._format_1.get(team)

    def change(self, team: str, shares: Sequence[tuple[float, float]]) -> Write:
        """The write that gives a team these shares (CPUs, GPUs), by shard."""
        key = keys.quota_shares(team) if self._gate.open else keys.QUOTA_SHARES
        return Write(key, self._value(key, team, shares))

    def versions(self, team: str) -> dict[str, int]:
        """The expected versions of a change of a team's shares: nobody changed them meanwhile."""
        read_keys = [keys.QUOTA_SHARES]
        if self._gate.open:
            read_keys.append(keys.quota_shares(team))
        return {key: self._replica.version(key) for key in read_keys}

    def unchanged(self, key: str, team: str, shares: list[ShardQuotaShare]) -> bytes:
        """The value that changes nothing: `shares` if the team has no record yet."""
        return self._value(key, team, self.of(team) or shares)

    def _value(self, key: str, team: str, shares: Sequence[tuple[float, float]]) -> bytes:
        if key == keys.QUOTA_SHARES:
            return _encode({**self._format_1, team: shares})
        return _encode(shares)
