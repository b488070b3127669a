"""Refused submissions keep the order of their first attempts."""

from __future__ import annotations

import trio
import trio.testing

from pitchtally.api.admission_queue import MAX_RETRY_S, RETRY_GRACE_S, AdmissionQueue


def test_admission_queue_keeps_the_order_of_first_attempts() -> None:
    """A retry keeps its place; a caller that doesn't retry in time loses it."""

    async def main() -> None:
        queue = AdmissionQueue()
        assert queue.count_ahead_of("a") == 0
        assert queue.record_refusal("a", 0.2) == 1
        await trio.sleep(0.5)
        assert queue.record_refusal("b", 2.1) == 3
        assert queue.record_refusal("c", 90.0) == MAX_RETRY_S
        await trio.sleep(1.0)
        assert queue.record_refusal("a", 1.5) == 2
        assert [queue.count_ahead_of(id) for id in "abcd"] == [0, 1, 2, 3]
        queue.remove("b")
        assert [queue.count_ahead_of(id) for id in "acd"] == [0, 1, 2]
        await trio.sleep(2.0)
        queue.record_refusal("c", 90.0)
        await trio.sleep(RETRY_GRACE_S + 0.1)
        assert [queue.count_ahead_of(id) for id in "cd"] == [0, 1]  # no retry of a
        # It keeps its place: it may have retried at another controller.
        queue.record_refusal("a", 1.0)
        assert [queue.count_ahead_of(id) for id in "acd"] == [0, 1, 2]
        await trio.sleep(MAX_RETRY_S + RETRY_GRACE_S)
        assert queue.count_ahead_of("d") == 0
        assert not queue.expects_retries

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_admission_queue_drops_a_submission_accepted_elsewhere() -> None:
    async def main() -> None:
        accepted_elsewhere: set[str] = set()
        queue = AdmissionQueue(accepted_elsewhere.__contains__)
        queue.record_refusal("a", 3.0)
        queue.record_refusal("b", 3.0)
        accepted_elsewhere.add("a")
        await trio.sleep(RETRY_GRACE_S / 2)
        assert [queue.count_ahead_of(id) for id in "bc"] == [0, 1]

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
