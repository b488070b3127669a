"""Which shard a machine belongs to, and which nodes lead a shard first."""

from __future__ import annotations

import pytest

from pitchtally.membership.shards import leader_preference, shard_of


@pytest.mark.parametrize(
    ("name", "shard"),
    [("i-000231", 0), ("i-000232", 1), ("i-0", 0), ("odd", sum(b"odd") % 3), ("", 0)],
)
def test_shard_of(name: str, shard: int) -> None:
    assert shard_of(name, 3) == shard


def test_preference_starts_at_home() -> None:
    assert leader_preference(["a", "b", "c"], 1) == ["b", "c", "a"]
