"""Answers that are matched to the wrong question: each path on which that could happen."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Callable

import pytest
import trio
import trio.testing

from pitchtally.api.submission_batcher import PendingSubmission, SubmissionBatcher
from pitchtally.api.validation import parse_job
from pitchtally.config import policy
from pitchtally.controller import Controller
from pitchtally.http import Client, HttpError, Request, Response
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
from pitchtally.state_store.client import Write

from ..harness.http_stub import Call, answer_calls
from ..harness.simulation import job, settings, submission

# --- pooled connections -----------------------------------------------------------------

OLD = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
NEW = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew"


@pytest.mark.parametrize(
    "surplus",
    [
        OLD,  # the answer once more
        b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",  # nobody asked
        b"\r\n",
    ],
)
def test_what_comes_between_two_questions_answers_neither(surplus: bytes) -> None:
    """A repeated answer waited in the connection, and the next call took it for its own."""

    async def main() -> None:
        accepted = 0

        async def serve(stream: trio.SocketStream) -> None:
            nonlocal accepted
            accepted += 1
            answer = OLD if accepted == 1 else NEW
            with contextlib.suppress(trio.BrokenResourceError):  # the client gives it up
                while await stream.receive_some(4096):
                    await stream.send_all(answer)
                    if answer is OLD:
                        await trio.sleep(0.02)
                        await stream.send_all(surplus)

        async with trio.open_nursery() as nursery:
            [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            address = listener.socket.getsockname()
            client = Client()
            first = await client.call(address, "GET", "/x", timeout=1)
            await trio.sleep(0.1)
            second = await client.call(address, "GET", "/x", timeout=1)
            assert (first.body, second.body) == (b"old", b"new")
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_connection_that_the_server_has_closed_is_not_used_again() -> None:
    """It failed a call whose question had never been asked."""

    async def main() -> None:
        async def serve(stream: trio.SocketStream) -> None:
            await stream.receive_some(4096)
            await stream.send_all(NEW)
            await stream.aclose()

        async with trio.open_nursery() as nursery:
            [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            address = listener.socket.getsockname()
            client = Client()
            for _ in range(3):
                response = await client.call(address, "GET", "/x", timeout=1)
                assert response.body == b"new"
                await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    trio.run(main)


# --- messages between controllers -------------------------------------------------------

Reply = Callable[[Message], Message]


def _membership(monkeypatch: pytest.MonkeyPatch, reply: Reply) -> Membership:
    """A controller's membership, whose peers answer each message with `reply`."""

    async def answer(call: Call) -> Response:
        return Response(200, encode(reply(decode(call.body))))

    answer_calls(monkeypatch, answer)
    config = settings("n0")
    membership = Controller(config, policy.parse("", config)).membership
    membership.transport._calls = 40  # some were made before
    return membership


def _heartbeat(call: int) -> PeerHeartbeat:
    return PeerHeartbeat("n1", "i", 1, 5, 0.0, 0.0, [], [], [], [], call=call)


@pytest.mark.parametrize(
    "reply",
    [
        lambda asked: _heartbeat(asked.call - 1),
        lambda asked: ScheduleReply([TaskRange(0, 800, 1)], call=asked.call - 1),
        lambda asked: Forwarded(404, b"{}", "", call=asked.call - 1),
        lambda asked: Ack(call=asked.call + 7),
    ],
)
def test_reply_to_another_message_is_no_reply(
    reply: Reply, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An older heartbeat makes old evidence young; another job's ranges or state are worse."""

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
def test_reply_names_the_message_that_it_answers(
    message: Message, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        server = _membership(monkeypatch, lambda asked: Ack())

        class Handler(NoPeerRequestHandler):
            async def serve_forwarded(self, request: Request) -> Response:
                return Response(404, b"{}")

        server.peer_server.handler = Handler()
        message.call = 41
        response = await server.serve(Request("POST", "/peer", {}, encode(message)))
        reply = decode(response.body)
        assert reply.call == 41

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_reply_of_an_earlier_version_is_taken(monkeypatch: pytest.MonkeyPatch) -> None:
    """It numbers nothing; controllers of two versions must hear each other."""

    async def main() -> None:
        membership = _membership(monkeypatch, lambda asked: Ack())
        peer = membership.peers["n1"]
        assert isinstance(await membership.send(peer, Forward("GET", "/", b"")), Ack)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


# --- shared commits ---------------------------------------------------------------------


def test_submissions_planned_under_different_tokens_share_no_commit() -> None:
    """The transaction checked one of the two tokens, and both submissions were taken."""

    async def main() -> None:
        config = settings("n0")
        controller = Controller(config, policy.parse("", config))
        submission_batcher = SubmissionBatcher(controller.state_store, controller.replica)
        for number, token in enumerate((5, 9, 5)):
            key = f"pt/jobs/wk-{number}"
            submission_batcher.queued.append(
                PendingSubmission(key, Write(key, b"{}"), {key: 0, "pt/parts/1": token})
            )
        batches = []
        while submission_batcher.queued:
            batches.append([pending.key[-1] for pending in submission_batcher.take_batch()])
        assert batches == [["0", "2"], ["1"]]

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_job_that_the_store_has_told_of_is_never_denied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A commit refused because the record is there is proof enough against a 404."""

    async def main() -> None:
        config = settings("n0")
        controller = Controller(config, policy.parse("", config))
        spec = parse_job(json.dumps(submission(job(1))).encode())
        controller.replica.revision = 10

        async def answer(call: Call) -> Response:
            if call.target == "/commit":
                return Response(409, b'{"failed":["pt/jobs/wk-000001"],"ledger":12}')
            if call.target.startswith("/follow"):
                return Response(200, b'{"ledger":12,"log":[]}')  # it lacks the record
            raise HttpError("refused")

        async def poll() -> Response:
            return await controller.api.statuses.poll(spec.id)

        answer_calls(monkeypatch, answer)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(controller.api.read_barrier.run)
            nursery.start_soon(controller.api.submission_batcher.run)
            assert (await controller.api.submissions.accept(spec)).status == 503
            assert (await poll()).status == 404  # nothing else is known of it
            controller.replica.learn(f"pt/jobs/{spec.id}", b'{"of":"a later version"}', 11)
            assert (await poll()).status == 503
            assert (await controller.api.cancellations.cancel(spec.id)).status == 503
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
