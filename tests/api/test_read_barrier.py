"""The read barrier: a request passes only by a read dispatched after the request arrived."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio
import trio.testing

from pitchtally.api.read_barrier import (
    MAX_CONCURRENT_READS,
    REQUESTS_PER_READ,
    BarrierFailed,
    BarrierOutcome,
    BarrierPassed,
    FailureCause,
    ReadBarrier,
)
from pitchtally.config.settings import StateLimits
from pitchtally.http import HttpError, Response
from pitchtally.state_store.client import StateStoreClient
from pitchtally.state_store.errors import StoreUnavailable
from pitchtally.state_store.replica import Replica

from ..harness.http_stub import Call, answer_calls

LIMITS = StateLimits(rps=500, write_rps=30, value_kb=8, txn_ops=8)
CALL_TIMEOUT_S = 2.0
BARRIER_TIMEOUT_S = 1.5  # maximum time that a request waits at the barrier
USUAL_DELAY_S = 0.005
REQUESTS_PER_S = 500 * 0.9 / 3  # this node's share of the rate limit
READ_INTERVAL_S = REQUESTS_PER_READ / REQUESTS_PER_S  # between the starts of two reads
NEVER_S = float("inf")  # delay of a response that never arrives


class StateService:
    """Responds to each read after the next of `delays`, in seconds; after the last, `delay`."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch):
        self.delay = USUAL_DELAY_S
        self.delays: list[float] = []
        self.status = 200
        self.ledger = 10
        self.log: list[dict[str, Any]] = []
        self.reads = self.in_flight = self.max_in_flight = 0
        answer_calls(monkeypatch, self.answer)

    async def answer(self, call: Call) -> Response:
        """Respond with the state at the time of the call, after the delay."""
        self.reads += 1
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        delay = self.delays.pop(0) if self.delays else self.delay
        response = Response(
            self.status, json.dumps({"ledger": self.ledger, "log": self.log}).encode()
        )
        try:
            with trio.move_on_after(call.timeout):
                await trio.sleep(delay)
                return response
        finally:
            self.in_flight -= 1
        raise HttpError(f"no answer in {call.timeout:g} s")


BarrierTest = Callable[[ReadBarrier, StateService], Awaitable[None]]


def run_with_barrier(monkeypatch: pytest.MonkeyPatch, body: BarrierTest) -> None:
    """Run a test body with a read barrier, for a replica at revision 10, on a mock clock."""

    async def main() -> None:
        service = StateService(monkeypatch)
        state_store = StateStoreClient("10.2.0.1:2379", LIMITS, 3, CALL_TIMEOUT_S)
        replica = Replica(state_store, 0.1, 1.0)
        replica.revision = 10
        read_barrier = ReadBarrier(state_store, replica, BARRIER_TIMEOUT_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_barrier.run)
            await body(read_barrier, service)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def count_passed(read_barrier: ReadBarrier, count: int) -> int:
    """Return how many of `count` requests that start at the same time pass the barrier."""
    passed = 0

    async def one() -> None:
        nonlocal passed
        if isinstance(await read_barrier.wait(), BarrierPassed):
            passed += 1

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(one)
    return passed


async def wait_timed(read_barrier: ReadBarrier) -> tuple[BarrierOutcome, float]:
    """Return the outcome of a request, and the seconds until it was available."""
    asked_at = trio.current_time()
    outcome = await read_barrier.wait()
    return outcome, trio.current_time() - asked_at


def test_outcome_of_an_abandoned_request_passes_no_later_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a 404 for an accepted job, from an abandoned request's outcome.

    Reads that ended after their requests had been abandoned stored an outcome for each of them,
    keyed by the address of a freed object. A later request whose object got the same address, and
    that timed out itself, received that outcome and passed.
    """

    async def body(read_barrier: ReadBarrier, service: StateService) -> None:
        service.delay = BARRIER_TIMEOUT_S + 0.3
        assert await count_passed(read_barrier, 300) == 0
        await trio.sleep(1)  # the reads end after all requests have timed out
        service.delay = NEVER_S
        passed = 0
        for _ in range(3):
            passed += await count_passed(read_barrier, 300)
        assert passed == 0, f"{passed} of 900 requests passed although the store never responded"
        assert read_barrier.counts == {FailureCause.TIMED_OUT: 1200}

    run_with_barrier(monkeypatch, body)


def test_cancelled_request_leaves_no_waiter(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body(read_barrier: ReadBarrier, service: StateService) -> None:
        service.delay = 0.5
        with trio.move_on_after(0.1):
            await read_barrier.wait()
        await trio.sleep(1)
        assert not read_barrier._waiters
        assert not read_barrier.counts

    run_with_barrier(monkeypatch, body)


@pytest.mark.parametrize("hanging", [1, MAX_CONCURRENT_READS - 1])
def test_hanging_reads_delay_no_request(hanging: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against refusals of requests that time out behind a read that hangs.

    There were 803 responses of 503 when reads ran one at a time, each for up to 2 s, while requests
    wait 1.5 s.
    """

    async def body(read_barrier: ReadBarrier, service: StateService) -> None:
        service.delays = [NEVER_S] * hanging
        outcome, seconds = await wait_timed(read_barrier)
        assert isinstance(outcome, BarrierPassed)
        assert seconds < hanging * READ_INTERVAL_S + 0.05
        outcome, seconds = await wait_timed(read_barrier)
        assert isinstance(outcome, BarrierPassed)
        assert seconds < READ_INTERVAL_S + 0.05

    run_with_barrier(monkeypatch, body)


def test_requests_pass_while_a_tenth_of_answers_is_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body(read_barrier: ReadBarrier, service: StateService) -> None:
        service.delays = ([2.5] + [USUAL_DELAY_S] * 9) * 100
        passed = 0
        for _ in range(400):
            await trio.sleep(0.02)
            passed += await count_passed(read_barrier, 1)
        assert passed == 400

    run_with_barrier(monkeypatch, body)


def test_reads_are_bounded_while_the_store_hangs(monkeypatch: pytest.MonkeyPatch) -> None:
    async def body(read_barrier: ReadBarrier, service: StateService) -> None:
        service.delay = NEVER_S
        for _ in range(4):
            await count_passed(read_barrier, 100)
        assert service.max_in_flight == MAX_CONCURRENT_READS
        assert service.reads <= MAX_CONCURRENT_READS * 5
        # Reads resume as soon as the store responds.
        service.delay = USUAL_DELAY_S
        assert await count_passed(read_barrier, 100) == 100

    run_with_barrier(monkeypatch, body)


def test_many_requests_take_a_fifth_of_the_rate_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    async def body(read_barrier: ReadBarrier, service: StateService) -> None:
        end = trio.current_time() + 10
        while trio.current_time() < end:
            await count_passed(read_barrier, 50)
        assert service.reads <= 10 * REQUESTS_PER_S / REQUESTS_PER_READ + 1

    run_with_barrier(monkeypatch, body)


def test_read_dispatched_before_the_request_does_not_pass_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body(read_barrier: ReadBarrier, service: StateService) -> None:
        service.delays = [0.02]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_barrier.wait)
            await trio.sleep(0.01)
            asked_at = trio.current_time()
            outcome = await read_barrier.wait()
            assert isinstance(outcome, BarrierPassed)
            assert outcome.read.requested_at >= asked_at
        assert service.reads == 2

    run_with_barrier(monkeypatch, body)


@pytest.mark.parametrize(
    ("status", "ledger", "log"),
    [
        (503, 10, []),
        (429, 10, []),
        (410, 10, []),  # the replica's revision is too old
        (200, 9, []),  # the response to an older read
        (200, 10, "rubbish"),
    ],
)
def test_unusable_answer_fails_requests_at_once(
    status: int, ledger: int, log: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def body(read_barrier: ReadBarrier, service: StateService) -> None:
        service.status, service.ledger, service.log = status, ledger, log
        outcome, seconds = await wait_timed(read_barrier)
        assert isinstance(outcome, BarrierFailed)
        assert outcome.cause == FailureCause.REFUSED
        assert seconds < 0.1

    run_with_barrier(monkeypatch, body)


def test_replica_that_was_never_loaded_passes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def body(read_barrier: ReadBarrier, service: StateService) -> None:
        read_barrier.replica.revision = -1
        outcome, seconds = await wait_timed(read_barrier)
        assert isinstance(outcome, BarrierFailed)
        assert (service.reads, seconds) == (0, 0.0)

    run_with_barrier(monkeypatch, body)


def test_late_response_does_not_restore_a_removed_key(monkeypatch: pytest.MonkeyPatch) -> None:
    """Reads overlap, so a response may arrive after one of a newer revision."""

    async def body(read_barrier: ReadBarrier, service: StateService) -> None:
        replica = read_barrier.replica
        put = {"write": "pt/parts/0", "v": {"node": "n0"}, "stamp": 11}
        service.ledger, service.log = 11, [put]
        service.delays = [0.4]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(replica.refresh)
            await trio.sleep(0.1)
            service.ledger, service.log = 12, [put, {"remove": "pt/parts/0", "stamp": 12}]
            newer_sent_at = trio.current_time()
            await replica.refresh()
            assert (replica.revision, replica.version("pt/parts/0")) == (12, 0)
        assert (replica.revision, replica.version("pt/parts/0")) == (12, 0)
        assert replica.verified_at >= newer_sent_at  # no older than the newest response

    run_with_barrier(monkeypatch, body)


def test_response_older_than_the_replica_does_not_verify_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A repeated response, read from a reused connection, would make a stale replica look fresh."""

    async def body(read_barrier: ReadBarrier, service: StateService) -> None:
        replica = read_barrier.replica
        await replica.refresh()
        verified_at = replica.verified_at
        service.ledger = 9
        await trio.sleep(1)
        with pytest.raises(StoreUnavailable):
            await replica.refresh()
        assert replica.verified_at == verified_at

    run_with_barrier(monkeypatch, body)
