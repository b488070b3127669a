"""The decision log, and the restart of failed loops."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from pitchtally.observability import decision_log, supervision
from pitchtally.observability.decision_log import (
    Decision,
    DecisionContext,
    DecisionLog,
    DecisionReason,
)
from pitchtally.observability.supervision import LoopSupervisor
from pitchtally.state_store.replica import Refresh

from ..harness.simulation import Simulation, job, run

REFRESH = Refresh(revision=431, requested_at=1.0, replied_at=1.25)


def _create_log(counters: dict[str, int]) -> DecisionLog:
    context = DecisionContext(430, 0.5, "n0", 17)
    return DecisionLog(lambda: context, lambda: counters, lambda: None)


def _on_mock_clock(body: Callable[[], Awaitable[None]]) -> None:
    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))


def test_debug_line_holds_reason_and_context(caplog: pytest.LogCaptureFixture) -> None:
    """The fields distinguish a stale read from a late response and from a gap in the replica."""

    async def main() -> None:
        with caplog.at_level(logging.DEBUG, decision_log.__name__):
            _create_log({}).on_decision(
                Decision.UNKNOWN_JOB, "wk-000001", DecisionReason(read=REFRESH)
            )
            _create_log({}).on_decision(Decision.START, "wk-000001/0", DecisionReason(5, token=17))

    _on_mock_clock(main)
    lookup_line, start_line = (record.getMessage() for record in caplog.records)
    for field in ("decided=unknown_job", "copy=430", "read=431", "asked=1.000", "answered=1.250"):
        assert field in lookup_line.split()
    for field in ("decided=start", "about=wk-000001/0", "version=5", "token=17"):
        assert field in start_line.split()


def test_many_decisions_are_one_line_per_period_at_info(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        counters = {"confirmed": 0, "timed_out": 0}
        decisions = _create_log(counters)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(decisions.run, 5.0)
            for _ in range(1000):
                decisions.on_decision(Decision.FOUND, "wk-000001", DecisionReason(read=REFRESH))
            counters["confirmed"], counters["timed_out"] = 1000, 3
            await trio.sleep(5.1)
            counters["confirmed"] = 1001
            await trio.sleep(5.0)
            nursery.cancel_scope.cancel()

    with caplog.at_level(logging.INFO, decision_log.__name__):
        _on_mock_clock(main)
    first, second = (record.getMessage().split() for record in caplog.records)
    assert {"leader=n0", "token=17", "found=1000", "confirmed=1000", "timed_out=3"} <= set(first)
    assert "confirmed=1" in second  # counted since the first line
    assert not any(field.startswith(("found=", "timed_out=")) for field in second)


def test_loop_that_raises_is_restarted_and_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        starts = 0

        async def loop() -> None:
            nonlocal starts
            starts += 1
            if starts <= 2:
                raise KeyError("i-000001")
            await trio.sleep_forever()

        loops = LoopSupervisor()
        with trio.move_on_after(10):
            await loops.supervise("records", loop)
        assert starts == 3
        assert loops.faults == {"records": 2}

    with caplog.at_level(logging.ERROR, supervision.__name__):
        _on_mock_clock(main)
    assert [record.getMessage() for record in caplog.records] == [
        "loop fault loop=records faults=1",
        "loop fault loop=records faults=2",
    ]


def test_every_kind_of_decision_is_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Each kind of decision is logged, which fails if a component doesn't report its decisions."""

    async def scenario(sim: Simulation) -> None:
        await sim.submit(job(1))
        await sim.submit(job(2, rows=2, realS=60.0))
        await trio.sleep(3)
        assert (await sim.call(0, "GET", "/api/jobs/wk-999999")).status == 404
        await sim.poll("wk-000002", 1)
        await sim.cancel("wk-000002")
        await sim.wait_until_finished(["wk-000001", "wk-000002"])

    with caplog.at_level(logging.DEBUG, decision_log.__name__):
        run(monkeypatch, scenario)
    logged = {
        field
        for record in caplog.records
        for field in record.getMessage().split()
        if field.startswith("decided=")
    }
    assert logged == {f"decided={decision}" for decision in Decision}
