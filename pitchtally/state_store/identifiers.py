"""Names for the two numbers that every component exchanges with the state store's records."""

from __future__ import annotations

from typing import TypeAlias

# Which shard: 0 up to the deployment's number of shards, that not included.
ShardId: TypeAlias = int

# The version of the shard leader's record. Each failover writes that record anew, so of two
# leaders the later one holds the larger token; agents and the store compare them.
FencingToken: TypeAlias = int
