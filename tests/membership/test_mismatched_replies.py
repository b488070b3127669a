"""A reply between controllers is accepted only for the message that it answers."""

from __future__ import annotations

from collections.abc import Callable

import pytest
import trio
import trio.testing

from pitchtally.config import policy
from pitchtally.controller import Controller
from pitchtally.http import Request, Response
from pitchtally.jobs.job_record import TaskRange
from pitchtally.membership.membership import Membership
from pitchtally.membership.messages import (
    Ack,
    Cancellation,
    Cancelled,
    Forward,
    Forwarded,
    Message,
    PeerHeartbeat,
    ScheduleReply,
    decode,
    encode,
)
from pitchtally.membership.peers.listener import NoPeerRequestHandler

from ..harness.http_stub import Call, answer_calls
from ..harness.simulation import settings

Reply = Callable[[Message], Message]


def _membership(monkeypatch: pytest.MonkeyPatch, reply: Reply) -> Membership:
    """Return the membership of a controller whose peers answer each message with `reply`."""

    async def answer(call: Call) -> Response:
        return Response(200, encode(reply(decode(call.body))))

    answer_calls(monkeypatch, answer)
    config = settings("n0")
    membership = Controller(config, policy.parse("", config)).membership
    membership.transport._last_call_number = 40  # a state after 40 calls
    return membership


def _heartbeat(call: int) -> PeerHeartbeat:
    return PeerHeartbeat("n1", "i", 1, 5, 0.0, 0.0, [], [], [], [], call=call)


@pytest.mark.parametrize(
    "reply",
    [
        lambda request: _heartbeat(request.call - 1),
        lambda request: ScheduleReply([TaskRange(0, 800, 1)], call=request.call - 1),
        lambda request: Forwarded(404, b"{}", "", call=request.call - 1),
        lambda request: Ack(call=request.call + 7),
    ],
)
def test_reply_to_another_message_is_rejected(
    reply: Reply, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against replies to earlier calls.

    An older heartbeat would make stale data count as fresh; another job's ranges or status would
    be wrong altogether.
    """

    async def main() -> None:
        membership = _membership(monkeypatch, reply)
        peer = membership.peers["n1"]
        for _ in range(2):
            assert await membership.send(peer, Forward("GET", "/api/jobs/wk-1", b"")) is None
        assert peer.failure

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize(
    "message",
    [
        Forward("GET", "/api/jobs/wk-000001", b""),
        Cancelled(Cancellation("wk-000001", 5, 6, 0)),
        _heartbeat(0),
    ],
)
def test_reply_carries_the_number_of_its_message(
    message: Message, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        server = _membership(monkeypatch, lambda request: Ack())

        class Handler(NoPeerRequestHandler):
            async def serve_forwarded(self, request: Request) -> Response:
                return Response(404, b"{}")

        server.peer_server.handler = Handler()
        message.call = 41
        response = await server.serve(Request("POST", "/peer", {}, encode(message)))
        reply = decode(response.body)
        assert reply.call == 41

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_unnumbered_reply_of_an_earlier_version_is_accepted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Earlier versions do not number calls; both versions must accept each other's replies."""

    async def main() -> None:
        membership = _membership(monkeypatch, lambda request: Ack())
        peer = membership.peers["n1"]
        assert isinstance(await membership.send(peer, Forward("GET", "/", b"")), Ack)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
