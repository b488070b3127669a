"""Confirmations: an answer rests on a revision that was read after its question, or isn't given."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from pitchtally.control.acceptance import Certifier
from pitchtally.http import Client, HttpError, Response
from pitchtally.settings import StateLimits
from pitchtally.store import Replica, Store

LIMITS = StateLimits(rps=150, write_rps=30, value_kb=8, txn_ops=8)
CALL_TIMEOUT = 2.0
WAIT = 1.5  # how long a question waits for its confirmation
REVISION = b'{"ledger":10}'


class StateService:
    """Answers reads of the revision after `delay` seconds; None: never."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch):
        self.delay: float | None = 0.005
        service = self

        async def call(
            self: Client,
            address: tuple[str, int],
            method: str,
            target: str,
            body: bytes = b"",
            *,
            timeout: float,
        ) -> Response:
            delay = service.delay
            with trio.move_on_after(timeout):
                await (trio.sleep_forever() if delay is None else trio.sleep(delay))
                return Response(404, REVISION)
            raise HttpError(f"no answer in {timeout:g} s")

        monkeypatch.setattr(Client, "call", call)


Body = Callable[[Certifier, StateService], Awaitable[None]]


def play(monkeypatch: pytest.MonkeyPatch, body: Body) -> None:
    """Run a certifier, whose copy covers every revision, on a mock clock."""

    async def main() -> None:
        service = StateService(monkeypatch)
        store = Store("10.2.0.1:2379", LIMITS, 3, CALL_TIMEOUT)
        replica = Replica(store, 0.1, 1.0)
        replica.seen = 10
        certifier = Certifier(store, replica, WAIT)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(certifier.run)
            await body(certifier, service)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def ask(certifier: Certifier, count: int) -> int:
    """How many of so many questions, asked at once, were confirmed."""
    confirmed = 0

    async def one() -> None:
        nonlocal confirmed
        if await certifier.certify():
            confirmed += 1

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(one)
    return confirmed


def test_outcome_of_a_question_given_up_confirms_no_later_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A 404 for an accepted job: the outcome of an earlier question that had been given up.

    Reads that ended after their waiters had left put down an outcome for each, by the address
    of an object that was free again; whoever got that address next, and gave up, was confirmed.
    """

    async def body(certifier: Certifier, service: StateService) -> None:
        service.delay = WAIT + 0.3
        assert await ask(certifier, 300) == 0
        await trio.sleep(1)  # the read ends: nobody waits any more
        service.delay = None
        confirmed = 0
        for _ in range(3):
            confirmed += await ask(certifier, 300)
        assert confirmed == 0, f"{confirmed} of 900 confirmed by a store that never answered"

    play(monkeypatch, body)
