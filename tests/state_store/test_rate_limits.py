"""Token buckets with priorities for calls to the state store."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from pitchtally.state_store.rate_limits import Priority, TokenBucket


def test_bucket_serves_by_priority_within_its_rate() -> None:
    served: list[tuple[float, int]] = []

    async def main() -> None:
        bucket = TokenBucket(10, 2)

        async def acquire_one(priority: Priority) -> None:
            await bucket.acquire(priority)
            served.append((trio.current_time() - start, priority))

        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(acquire_one, Priority.PROGRESS)
            await trio.sleep(0.05)
            assert bucket.wait_time(Priority.LEASES) < bucket.wait_time(Priority.PROGRESS)
            for _ in range(3):
                nursery.start_soon(acquire_one, Priority.LEASES)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert [priority for _, priority in served[1:4]] == [Priority.LEASES] * 3
    assert served[-1][0] == pytest.approx(0.78, abs=0.1)


def test_progress_leaves_permits_to_submissions() -> None:
    """Guards against progress writes taking permits that a flood of submissions needs."""

    async def main() -> None:
        bucket = TokenBucket(1, 10)
        with trio.move_on_after(0.5):
            for _ in range(10):
                await bucket.acquire(Priority.PROGRESS)
        assert bucket.wait_time(Priority.SUBMISSIONS, 4) == 0

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_cost_above_the_burst_is_charged_in_full() -> None:
    """Charged as one burst, batches would exceed the limit of all controllers together."""

    async def main() -> None:
        bucket = TokenBucket(4.0, 4.0)
        await bucket.acquire(Priority.SUBMISSIONS, 8)
        started_at = trio.current_time()
        await bucket.acquire(Priority.SUBMISSIONS, 1)
        assert trio.current_time() - started_at == pytest.approx(5 / 4, abs=0.02)
        assert bucket.wait_time(Priority.SUBMISSIONS, 5) == pytest.approx(5 / 4, abs=0.02)
        bucket.resize(8.0)
        assert bucket.wait_time(Priority.SUBMISSIONS, 5) == pytest.approx(5 / 8, abs=0.02)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_bucket_shrunk_below_a_waiting_cost_still_grants_it() -> None:
    """Guards against a blocked bucket after a resize.

    A controller's share shrinks when others return; a call that waits and costs more than the new
    burst must still be served.
    """

    async def main() -> None:
        bucket = TokenBucket(12.0, 12.0)
        await bucket.acquire(Priority.SUBMISSIONS, 12)
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(bucket.acquire, Priority.COMPLETIONS, 12)
            await trio.sleep(0.1)
            bucket.resize(4.0)
            nursery.start_soon(bucket.acquire, Priority.SUBMISSIONS, 1)
        assert trio.current_time() - started_at < 4

    async def limited() -> None:
        with trio.fail_after(60):
            await main()

    trio.run(limited, clock=trio.testing.MockClock(autojump_threshold=0))
