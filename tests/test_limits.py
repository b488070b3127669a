"""Values, pages and messages at size: 930 machines, 1,500 open jobs, 100,000 tasks."""

from __future__ import annotations

import json
from collections.abc import Callable

import msgspec
import pytest
import trio
import trio.testing

from pitchtally import policy, tokens, wire
from pitchtally.control import jobs, messages
from pitchtally.control.acceptance import Acceptances, Pending
from pitchtally.control.jobs import Bits, Job, Record
from pitchtally.control.messages import Cancellation, Heartbeat, MachineStatus, PartStatus
from pitchtally.control.service import Controller
from pitchtally.control.submission import parse_job
from pitchtally.store import Write

from .sim import job, settings

KIB = 1024
LONG = "x" * 60  # no name of a type, zone, image or team is longer


def _spec(tasks: int) -> wire.JobSpec:
    body = job(1, rows=tasks, cask=LONG, vintage=LONG, crew=LONG, presses=[LONG] * 4, parcel=LONG)
    body["ref"] = "wk-" + "9" * 18
    return parse_job(json.dumps(body).encode())


def fleet_record(controller: Controller) -> int:
    """The largest chunk of the record of a part's machines."""
    workers = controller.workers
    chunks: dict[int, dict[str, list[object]]] = {}
    for number in range(0, 930 * 3, 3):
        name = f"i-{number:09d}"
        row = ["vineeye-large", "chaophraya-north", False, "10.100.200.250:65000"]
        chunks.setdefault(workers.records.chunk_of(name), {})[name] = row
    return max(len(jobs.encode(chunk)) for chunk in chunks.values())


def job_record(controller: Controller) -> int:
    """A wide job in as many ranges as moves make, with its finished set inside."""
    chunk = controller.job_store.chunk
    ranges = [jobs.TaskRange(i * 1000, i * 1000 + 1000, i % 3) for i in range(43)]
    bits = Bits(chunk)
    bits.join(b"\xff" * (chunk // 8))
    return len(jobs.encode(Record(jobs.OPEN, chunk, _spec(chunk), 1.7e9, ranges, bits.text())))


def finished_chunk(controller: Controller) -> int:
    """One piece of the finished set of a job with 100,000 tasks."""
    job_store = controller.job_store
    wide = Job("wk-1", Record(jobs.OPEN, 100_000, _spec(100_000)), 1, job_store.chunk)
    assert wide.chunked
    wide.local = set(range(100_000 - 1))
    return max(len(change.value or b"") for change in job_store._changes(wide))


def shares(controller: Controller) -> int:
    rows = {f"{LONG[:40]}{i}": [(12345.678, 12345.678)] * 3 for i in range(30)}
    return len(jobs.encode(rows))


def acceptances(controller: Controller) -> int:
    """The bytes of a transaction that takes as many submissions as go together."""
    found = Acceptances(controller.store, controller.replica)
    controller.store.writes.resize(1000.0)
    for number in range(1000):
        value = jobs.encode(Record(jobs.OPEN, 800, _spec(800), 1.7e9, [jobs.TaskRange(0, 800, 1)]))
        key = f"pt/jobs/wk-{number:018d}"
        found.waiting.append(Pending(key, Write(key, value), {key: 0, "pt/parts/1": 10**12}))
    batch = found._batch()
    assert 0 < len(batch) <= controller.store.limits.txn_ops
    conditions = [wire.Condition(k, v) for p in batch for k, v in p.conditions.items()]
    puts: list[wire.Put | wire.Delete] = [
        wire.Put(p.key, msgspec.Raw(p.change.value or b"")) for p in batch
    ]
    return len(msgspec.json.encode(wire.Transaction(conditions, puts)))


def orders(controller: Controller) -> int:
    """The answer to a report: it holds no more than 500 orders."""
    each = wire.Order(wire.STOP, "wk-" + "9" * 18 + "/99999", 2**63, 10.0)
    return len(msgspec.json.encode(wire.Orders(2**40, [each] * 500)))


def heartbeat(controller: Controller) -> int:
    """What a node that owns all parts tells a peer."""
    machine = MachineStatus("i-000000001", LONG, LONG, False, (1.1,) * 3, (1.1,) * 3, 64, 1.1, "")
    matrix = [(LONG, [[[100_000] * 8] * 6] * 16)] * 20
    waiting = {f"wk-{n:06d}": 800 for n in range(1500)}
    parts = [
        PartStatus(k, 10**12, True, 1.0, 1.0, [machine] * 310, matrix, waiting) for k in range(3)
    ]
    names = [f"i-{n:09d}" for n in range(930)]
    cancelled = [Cancellation(id, 10**12, 100_000, 100_000) for id in waiting]
    told = Heartbeat("n", "i", 10**9, 10**12, 1.0, 1.0, cancelled, parts, names, names)
    return len(messages.encode(told))


LIMITS: list[tuple[Callable[[Controller], int], int]] = [
    (fleet_record, 8 * KIB),
    (job_record, 8 * KIB),
    (finished_chunk, 8 * KIB),
    (shares, 8 * KIB),
    (acceptances, 64 * KIB),
    (orders, 64 * KIB),
    (heartbeat, 4 * KIB * KIB),
]


@pytest.mark.parametrize(("size", "limit"), LIMITS, ids=lambda x: getattr(x, "__name__", ""))
def test_size(size: Callable[[Controller], int], limit: int) -> None:
    async def main() -> None:
        config = settings("n0")
        found = size(Controller(config, policy.parse("", config)))
        assert 0 < found <= limit

    trio.run(main, clock=trio.testing.MockClock())


def test_more_than_a_burst_is_paid_for() -> None:
    """Batches charged as one burst went over the limit for all nodes."""

    async def main() -> None:
        bucket = tokens.Bucket(4.0, 4.0)
        await bucket.take(tokens.ACCEPTANCES, 8)
        at = trio.current_time()
        await bucket.take(tokens.ACCEPTANCES, 1)
        assert trio.current_time() - at == pytest.approx(5 / 4, abs=0.02)
        assert bucket.wait_for(tokens.ACCEPTANCES, 5) == pytest.approx(5 / 4, abs=0.02)
        bucket.resize(8.0)
        assert bucket.wait_for(tokens.ACCEPTANCES, 5) == pytest.approx(5 / 8, abs=0.02)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_bucket_made_smaller_under_a_waiter_goes_on() -> None:
    """After two ends the third node had all the tokens; when the others were back, what
    it waited for was more than its bucket held, and nothing was written any more."""

    async def main() -> None:
        bucket = tokens.Bucket(12.0, 12.0)
        await bucket.take(tokens.ACCEPTANCES, 12)
        at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(bucket.take, tokens.COMPLETIONS, 12)
            await trio.sleep(0.1)
            bucket.resize(4.0)
            nursery.start_soon(bucket.take, tokens.ACCEPTANCES, 1)
        assert trio.current_time() - at < 4

    async def limited() -> None:
        with trio.fail_after(60):
            await main()

    trio.run(limited, clock=trio.testing.MockClock(autojump_threshold=0))
