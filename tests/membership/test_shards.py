"""Assignment of machines to shards, and the order of a shard's preferred leaders."""

from __future__ import annotations

import pytest

from pitchtally.membership.shards import leader_preference, shard_of


@pytest.mark.parametrize(
    ("name", "shard"),
    [("i-000231", 0), ("i-000232", 1), ("i-0", 0), ("odd", sum(b"odd") % 3), ("", 0)],
)
def test_shard_of(name: str, shard: int) -> None:
    assert shard_of(name, 3) == shard


def test_leader_preference_starts_at_the_home_node() -> None:
    assert leader_preference(["a", "b", "c"], 1) == ["b", "c", "a"]
