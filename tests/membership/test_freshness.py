"""Times up to which a controller has verified cancellations and its shard leadership."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from pitchtally.config import policy
from pitchtally.config.timing import lease_expired_at, max_freshness_bound
from pitchtally.membership.freshness import (
    NEVER_READ_AGE_S,
    PeerReply,
    cancellations_verified_until,
    leadership_verified_until,
)
from pitchtally.membership.membership import Membership
from pitchtally.state_store.client import StateStoreClient
from pitchtally.state_store.replica import Replica

from ..harness.simulation import DEPLOYMENT_TIMES, settings

CANCELLATIONS_VERIFIED = [
    # replica verified at, peers' (request sent at, age of their replica), verified up to
    (90.0, [(50.0, 2.0), (60.0, 2.0)], 90.0),
    (20.0, [(95.0, 3.0), (10.0, 1.0)], 92.0),  # a peer with access to the store
    (20.0, [(95.0, 70.0), (94.0, 80.0)], 94.0),  # all peers replied: no other node can confirm
    # a peer that no longer replies may be confirming cancellations
    (20.0, [(95.0, 70.0), (40.0, 30.0)], 40.0),
    # a restarted peer lacks the cancellations that its previous process confirmed
    (20.0, [(95.0, 1e6), (94.0, 80.0)], 20.0),
    (20.0, [(95.0, 70.0), None], 25.0),  # a peer that never replied
]


@pytest.mark.parametrize(("verified_at", "peers", "expected"), CANCELLATIONS_VERIFIED)
def test_missing_replies_limit_verification_of_cancellations(
    verified_at: float, peers: list[tuple[float, float] | None], expected: float
) -> None:
    async def main() -> None:
        config = settings("n0")
        figures = policy.parse("", config)
        state_store = StateStoreClient(config.endpoints.state, config.deployment.state, 3, 1.0)
        membership = Membership(config, figures, state_store, Replica(state_store, 1.0, 1.0))
        membership.replica.verified_at = verified_at
        for peer, reply in zip(membership.peers.values(), peers, strict=True):
            if reply is not None:
                peer.last_reply = PeerReply(reply[0], reply[1], reply[1])
        assert membership.cancellations_verified_at() == expected

    trio.run(main, clock=trio.testing.MockClock())


Reply = PeerReply
VERIFIED_UP_TO: list[tuple[float, list[PeerReply | None], float, float]] = [
    # replica verified at, replies of the peers, cancellations verified up to, leadership up to
    (90.0, [None, None], 90.0, 90.0),
    # a peer with access to the store reports cancellations
    (10.0, [Reply(99.0, 1.0, 1.0), None], 98.0, 10.0),
    # a peer without it does so too while all of its own peers reply
    (10.0, [Reply(99.0, 60.0, 2.0), None], 97.0, 10.0),
    # all peers replied during a store outage
    (10.0, [Reply(99.0, 60.0, 60.0), Reply(98.0, 50.0, 50.0)], 98.0, 98.0),
    # one peer has not read the store since it started
    (10.0, [Reply(99.0, NEVER_READ_AGE_S, NEVER_READ_AGE_S), Reply(98.0, 50.0, 50.0)], 48.0, 10.0),
    # one peer has not replied for some time
    (10.0, [Reply(99.0, 60.0, 60.0), Reply(20.0, 1.0, 1.0)], 39.0, 20.0),
    (95.0, [Reply(99.0, 60.0, 60.0), Reply(98.0, 50.0, 50.0)], 98.0, 98.0),
    (99.5, [Reply(99.0, 60.0, 60.0), Reply(98.0, 50.0, 50.0)], 99.5, 99.5),
    (10.0, [], 10.0, 10.0),  # the only controller
]


@pytest.mark.parametrize(("verified_at", "replies", "cancellations", "leadership"), VERIFIED_UP_TO)
def test_cancellations_and_leadership_are_verified_up_to_the_peers_replies(
    verified_at: float, replies: list[PeerReply | None], cancellations: float, leadership: float
) -> None:
    assert cancellations_verified_until(verified_at, replies) == cancellations
    assert leadership_verified_until(verified_at, replies) == leadership


@pytest.mark.parametrize("deployment", DEPLOYMENT_TIMES)
def test_freshness_bound_and_lease_expiry_are_within_cancel_s(deployment: str) -> None:
    """A lease that is last renewed at the freshness bound must expire within `cancel_s`."""
    times = DEPLOYMENT_TIMES[deployment]
    figures = policy.parse("", settings("n0", times))
    assert 0 < figures.max_evidence_age < max_freshness_bound(times)
    assert lease_expired_at(max_freshness_bound(times), times) <= times.cancel_s
    assert lease_expired_at(max_freshness_bound(times) * 1.01, times) > times.cancel_s
    at_most = f"max_evidence_age = {max_freshness_bound(times):.6f} - 0.001"
    assert policy.parse(at_most, settings("n0", times)).max_evidence_age > figures.max_evidence_age
    with pytest.raises(policy.PolicyError, match=r"p.conf:1: max_evidence_age: .* beyond cancel_s"):
        policy.parse(
            f"max_evidence_age = {max_freshness_bound(times) + 0.01}",
            settings("n0", times),
            "p.conf",
        )
