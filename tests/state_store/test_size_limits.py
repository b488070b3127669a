"""Size limits of stored values, pages and messages.

The controllers hold 930 machines, 1,500 open jobs, and jobs of up to 100,000 tasks.
"""

from __future__ import annotations

import json
from collections.abc import Callable

import msgspec
import pytest
import trio
import trio.testing

from pitchtally.api.submission_batcher import PendingSubmission, SubmissionBatcher
from pitchtally.api.validation import parse_job
from pitchtally.config import policy
from pitchtally.config.settings import NextStateLimits, StateLimits
from pitchtally.controller import Controller
from pitchtally.formats.gate import KEY
from pitchtally.jobs.index import Job
from pitchtally.jobs.job_record import OPEN, JobRecord, TaskRange, encode
from pitchtally.jobs.resources import Resources
from pitchtally.membership import messages
from pitchtally.membership.messages import (
    Cancellation,
    GroupMatrix,
    MachineStatus,
    PeerHeartbeat,
    ShardStatus,
)
from pitchtally.protocol import agent_api, cloud_api, state_store_api, user_api
from pitchtally.state_store.client import Write

from ..harness.simulation import job, settings

KIB = 1024
LONG = "x" * 60  # the longest name of a type, zone, image or team


def _job_spec(tasks: int) -> user_api.JobSpec:
    body = job(1, rows=tasks, cask=LONG, vintage=LONG, crew=LONG, presses=[LONG] * 4, parcel=LONG)
    body["ref"] = "wk-" + "9" * 18
    return parse_job(json.dumps(body).encode())


def machine_records(controller: Controller) -> int:
    """Return the size of the largest chunk of the record of a shard's machines."""
    agents = controller.agents
    chunks: dict[int, dict[str, list[object]]] = {}
    for number in range(0, 1400 * 3, 3):
        name = f"i-{number:09d}"
        entry = ["vineeye-large", "chaophraya-north", False, "10.100.200.250:65000"]
        chunks.setdefault(agents.records.chunk_of(name), {})[name] = entry
    return max(len(encode(chunk)) for chunk in chunks.values())


def _open_job(controller: Controller, tasks: int, spec: user_api.JobSpec) -> Job:
    """Return a new job, read from the records laid out for it."""
    first, record = controller.layout.lay_out_new("wk-1", JobRecord(OPEN, tasks, spec, 1.7e9))
    value = encode(record)
    controller.replica.apply_own_commit([*first, Write("pt/jobs/wk-1", value)], 10**6)
    return controller.job_index.jobs["wk-1"]


def job_record(controller: Controller) -> int:
    """Return the size of a job's record with many ranges and the largest inline task bitmap."""
    tasks = controller.layout.inline_tasks
    if not controller.gate.open:
        tasks = controller.gate.legacy_chunk_tasks
    job_ = _open_job(controller, tasks, _job_spec(tasks))
    assert not job_.chunk_tasks
    job_.finished.add_bytes(b"\xff" * (tasks // 8))
    ranges = [TaskRange(i * 50, i * 50 + 50, i % 3) for i in range(43)]
    return len(controller.scheduler.range_writer.encode_record_with(job_, ranges=ranges))


def finished_chunk(controller: Controller) -> int:
    """Return the size of a chunk of the task bitmap of a job with 100,000 tasks."""
    wide = _open_job(controller, 100_000, _job_spec(100_000))
    assert wide.chunk_tasks
    wide.unwritten_tasks = set(range(100_000 - 1))
    steps = controller.progress._writes_of(wide)
    assert all(len(step.changes) <= controller.state_store.limits.txn_ops for step in steps)
    return max(len(change.value or b"") for step in steps for change in step.changes)


def long_spec(controller: Controller) -> int:
    """Return the largest value of a submission with the most and longest names accepted."""
    types = [f"{number:03d}" + "x" * 97 for number in range(100)]
    body = job(1, rows=100_000, vintage="v" * 200, crew="c" * 200, cask='"' * 200, presses=types)
    spec = parse_job(json.dumps(body).encode())
    first, record = controller.layout.lay_out_new(spec.id, JobRecord(OPEN, spec.tasks, spec))
    if not controller.gate.open:
        # The old layout cannot hold the spec: it is refused, but may be submitted again later.
        assert not controller.layout.record_fits(encode(record))
        return 1
    writes = [*first, Write(f"pt/jobs/{spec.id}", encode(record))]
    for number, change in enumerate(reversed(writes)):  # a full read may return the record first
        controller.replica.apply_own_commit([change], 10**6 + number)
    assert controller.job_index.jobs[spec.id].spec == spec
    return max(len(change.value or b"") for change in writes)


def team_shares(controller: Controller) -> int:
    teams = [f"{LONG[:40]}{i}" for i in range(30)]
    changes = []
    for number, team in enumerate(teams):
        change = controller.scheduler.quotas.shares.change(team, [(12345.678, 12345.678)] * 3)
        controller.replica.apply_own_commit([change], 10**6 + number)
        changes.append(change)
    assert all(controller.scheduler.quotas.shares.of(team) for team in teams)
    return max(len(change.value or b"") for change in changes)


def catalog(controller: Controller) -> int:
    zones = [f"{LONG[:20]}{i}" for i in range(8)]
    machine_types = [
        cloud_api.MachineType(f"{LONG[:20]}{i}", 1.5, 2.5, zones=zones) for i in range(15)
    ]
    changes = controller.autoscaler.catalog.lay_out(machine_types)
    controller.replica.apply_own_commit(changes, 10**6)
    assert controller.autoscaler.types == {kind.name: kind for kind in machine_types}
    return max(len(change.value or b"") for change in changes)


def submission_batcher(controller: Controller) -> int:
    """Return the size of a transaction with the largest batch of submissions."""
    batcher = SubmissionBatcher(controller.state_store, controller.replica)
    controller.state_store.write_limit.resize(1000.0)
    for number in range(1000):
        value = encode(JobRecord(OPEN, 800, _job_spec(800), 1.7e9, [TaskRange(0, 800, 1)]))
        key = f"pt/jobs/wk-{number:018d}"
        batcher.queued.append(
            PendingSubmission(key, Write(key, value), {key: 0, "pt/parts/1": 10**12})
        )
    batch = batcher.take_batch()
    assert 0 < len(batch) <= controller.state_store.limits.txn_ops
    conditions = [
        state_store_api.Precondition(k, v) for p in batch for k, v in p.preconditions.items()
    ]
    puts: list[state_store_api.Put | state_store_api.Delete] = [
        state_store_api.Put(p.key, msgspec.Raw(p.change.value or b"")) for p in batch
    ]
    return len(msgspec.json.encode(state_store_api.Transaction(conditions, puts)))


def commands(controller: Controller) -> int:
    """Return the size of a heartbeat response with 500 commands, the maximum."""
    command = agent_api.Command(agent_api.STOP, "wk-" + "9" * 18 + "/99999", 2**63, 10.0)
    return len(msgspec.json.encode(agent_api.HeartbeatResponse(2**40, [command] * 500)))


USED = Resources(1.1, 1.1, 1.1)


def heartbeat(controller: Controller) -> int:
    """Return the size of the peer heartbeat of a controller that leads all shards."""
    machine = MachineStatus("i-000000001", LONG, LONG, False, USED, USED, 64, 1.1, "")
    matrix = [GroupMatrix(LONG, [[[100_000] * 8] * 6] * 16)] * 20
    pending = {f"wk-{n:06d}": 800 for n in range(1500)}
    shards = [
        ShardStatus(k, 10**12, True, 1.0, 1.0, [machine] * 310, matrix, pending) for k in range(3)
    ]
    names = [f"i-{n:09d}" for n in range(930)]
    cancelled = [Cancellation(id, 10**12, 100_000, 100_000) for id in pending]
    heartbeat_ = PeerHeartbeat("n", "i", 10**9, 10**12, 1.0, 1.0, cancelled, shards, names, names)
    return len(messages.encode(heartbeat_))


STORED: list[Callable[[Controller], int]] = [
    machine_records,
    job_record,
    finished_chunk,
    long_spec,
    team_shares,
    catalog,
]
SENT: list[tuple[Callable[[Controller], int], int]] = [
    (submission_batcher, 64 * KIB),
    (commands, 64 * KIB),
    (heartbeat, 4 * KIB * KIB),
]
# Today's limits alone, and with lower limits announced, each with the format gate closed (a member
# runs an earlier version, so today's limit of a value applies) and open.
TODAY = StateLimits(rps=300, write_rps=100, value_kb=8, txn_ops=16)
ANNOUNCED = StateLimits(
    rps=300, write_rps=100, value_kb=8, txn_ops=16, next=NextStateLimits(value_kb=2, txn_ops=4)
)
PHASES = [(TODAY, False, 8), (TODAY, True, 8), (ANNOUNCED, False, 8), (ANNOUNCED, True, 2)]


def _with_controller(
    state: StateLimits, gate_open: bool, body: Callable[[Controller], None]
) -> None:
    async def main() -> None:
        config = settings("n0", state=state)
        controller = Controller(config, policy.parse("", config))
        if gate_open:
            controller.replica.apply_own_commit([Write(KEY, controller.gate.record())], 10)
        assert controller.gate.open == gate_open
        body(controller)

    trio.run(main, clock=trio.testing.MockClock())


@pytest.mark.parametrize(("state", "gate_open", "value_kb"), PHASES)
@pytest.mark.parametrize("size", STORED, ids=lambda x: x.__name__)
def test_stored_value_is_within_the_limit(
    size: Callable[[Controller], int], state: StateLimits, gate_open: bool, value_kb: int
) -> None:
    def body(controller: Controller) -> None:
        assert 0 < size(controller) <= value_kb * KIB

    _with_controller(state, gate_open, body)


@pytest.mark.parametrize("state", [TODAY, ANNOUNCED], ids=["today", "announced"])
@pytest.mark.parametrize(("size", "limit"), SENT, ids=lambda x: getattr(x, "__name__", ""))
def test_sent_message_is_within_the_limit(
    size: Callable[[Controller], int], limit: int, state: StateLimits
) -> None:
    def body(controller: Controller) -> None:
        assert 0 < size(controller) <= limit

    _with_controller(state, True, body)
