"""Type aliases for the numbers that identify shards and their leaders."""

from __future__ import annotations

from typing import TypeAlias

# The number of a shard, from 0 to the deployment's number of shards minus 1.
ShardId: TypeAlias = int

# The version of a shard leader's record. Each failover writes the record anew, so of two leaders
# the later one holds the larger token; agents and the store compare tokens.
FencingToken: TypeAlias = int
