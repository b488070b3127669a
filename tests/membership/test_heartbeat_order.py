"""Which peer heartbeats are newer than the last accepted one."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from pitchtally.membership.messages import Cancellation, PeerHeartbeat
from pitchtally.membership.peers.peer import Peer


def _heartbeat(incarnation: str, number: int, revision: int = 5) -> PeerHeartbeat:
    return PeerHeartbeat(
        "n1", incarnation, number, revision, 0.1, 0.1, [Cancellation("wk-1", 9, 1, 0)], [], [], []
    )


HEARTBEATS: list[tuple[list[tuple[str, int, float | None]], str, list[bool]]] = [
    # (incarnation, number, request sent at) of each heartbeat, recorded incarnation, accepted
    ([("x", 1, 0.0), ("x", 2, None), ("x", 1, None)], "x", [True, True, False]),
    ([("x", 5, None), ("x", 4, 0.5)], "x", [True, False]),
    # the next incarnation, then a delayed heartbeat of the previous one
    ([("x", 9, 0.0), ("y", 1, 0.5), ("x", 10, None)], "y", [True, True, False]),
    ([("x", 9, 0.0), ("y", 1, None), ("y", 2, 1.5)], "x", [True, False, True]),
    ([("x", 9, 0.0), ("y", 1, None), ("x", 10, None)], "y", [True, True, False]),
    # a reply of the previous incarnation, requested before the next one was accepted
    ([("y", 1, None), ("x", 9, -1.0), ("y", 2, 1.5)], "y", [True, False, True]),
    # an old incarnation is accepted since the replica lags too; the next reply corrects it
    ([("y", 1, None), ("x", 9, None), ("y", 2, 2.5)], "x", [True, True, True]),
]


@pytest.mark.parametrize(("heartbeats", "recorded", "accepted"), HEARTBEATS)
def test_older_peer_heartbeats_are_rejected(
    heartbeats: list[tuple[str, int, float | None]], recorded: str, accepted: list[bool]
) -> None:
    """The heartbeats arrive one second apart."""

    async def main() -> None:
        peer = Peer("n1", "10.0.0.1:8081")
        results = []
        start = trio.current_time()
        for incarnation, number, requested in heartbeats:
            requested_at = None if requested is None else start + requested
            results.append(
                peer.accept_newer(_heartbeat(incarnation, number), requested_at, recorded)
            )
            await trio.sleep(1.0)
        assert results == accepted

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
