"""Up to when a controller knows all cancellations, and that it still leads its shards."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from pitchtally.config import policy
from pitchtally.membership.freshness import PeerReply
from pitchtally.membership.membership import Membership
from pitchtally.state_store.client import StateStoreClient
from pitchtally.state_store.replica import Replica

from ..harness.simulation import settings

CANCELLATIONS_VERIFIED = [
    # replica verified at, peers' (reply asked for at, age of their replica), known up to
    (90.0, [(50.0, 2.0), (60.0, 2.0)], 90.0),
    (20.0, [(95.0, 3.0), (10.0, 1.0)], 92.0),  # a peer that reads the store
    (20.0, [(95.0, 70.0), (94.0, 80.0)], 94.0),  # all peers replied: nobody else can cancel
    (20.0, [(95.0, 70.0), (40.0, 30.0)], 40.0),  # a silent peer may be accepting cancellations
    (20.0, [(95.0, 1e6), (94.0, 80.0)], 20.0),  # a restarted peer doesn't know what it accepted
    (20.0, [(95.0, 70.0), None], 25.0),  # a peer that never replied
]


@pytest.mark.parametrize(("verified_at", "peers", "expected"), CANCELLATIONS_VERIFIED)
def test_silent_peers_limit_up_to_when_cancellations_are_known(
    verified_at: float, peers: list[tuple[float, float] | None], expected: float
) -> None:
    async def main() -> None:
        config = settings("n0")
        rules = policy.parse("", config)
        state_store = StateStoreClient(config.endpoints.state, config.deployment.state, 3, 1.0)
        membership = Membership(config, rules, state_store, Replica(state_store, 1.0, 1.0))
        membership.replica.verified_at = verified_at
        for peer, reply in zip(membership.peers.values(), peers, strict=True):
            if reply is not None:
                peer.last_reply = PeerReply(reply[0], reply[1], reply[1])
        assert membership.cancellations_verified_at() == expected

    trio.run(main, clock=trio.testing.MockClock())
