"""A controller stops leading a shard once it receives a newer fencing token."""

from __future__ import annotations

import trio
import trio.testing

from pitchtally.membership.messages import PeerHeartbeat, ShardToken

from ..harness.single_controller import (
    leader_of_shard,
)


def test_peers_newer_token_ends_leadership_of_a_shard() -> None:
    """A leader whose replica lags is fenced by the token in its successor's heartbeat."""

    async def main() -> None:
        leader = leader_of_shard(1, 50)
        assert leader.membership.token(1) == 50

        def receive(number: int, tokens: list[ShardToken]) -> None:
            heartbeat = PeerHeartbeat("n1", "x", number, 0, 0.0, 0.0, [], [], [], [], tokens)
            leader.membership.receiver.receive(heartbeat, None)

        receive(1, [ShardToken(1, 49), ShardToken(2, 80)])
        assert leader.membership.token(1) == 50
        receive(2, [ShardToken(1, 60)])
        assert leader.membership.token(1) is None
        assert 1 not in leader.agents.shards

    trio.run(main, clock=trio.testing.MockClock())
