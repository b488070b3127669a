"""The format gate, and stored formats: each version reads what the other writes."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

import msgspec
import pytest
import trio
import trio.testing

from pitchtally.api.validation import parse_job
from pitchtally.config import policy
from pitchtally.config.settings import NextStateLimits, StateLimits
from pitchtally.controller import Controller
from pitchtally.formats import finished_tasks, machine_layout, text_chunks
from pitchtally.formats import format_1 as legacy
from pitchtally.formats.gate import CURRENT_FORMAT, FIRST_FORMAT, KEY, all_members_read_format
from pitchtally.jobs import job_record
from pitchtally.jobs.job_record import OPEN, JobRecord, TaskRange
from pitchtally.jobs.task_bitmap import TaskBitmap
from pitchtally.membership import messages
from pitchtally.membership.nodes import NodeRecord
from pitchtally.state_store.client import Write

from ..harness.earlier_version import EarlierVersion, with_present_names
from ..harness.simulation import job, settings, submission

STATE = StateLimits(
    rps=300, write_rps=100, value_kb=2, txn_ops=16, next=NextStateLimits(value_kb=1, txn_ops=4)
)
LEGACY_CHUNK = legacy.tasks_per_chunk(2)

# --- the gate ---------------------------------------------------------------------------------

NEW, OLD = NodeRecord("a1", reads=CURRENT_FORMAT), NodeRecord("a1")
MEMBERS = ["n0", "n1"]
GATE: list[tuple[dict[str, NodeRecord], dict[str, str], bool]] = [
    ({"n0": NEW, "n1": NEW}, {"n0": "a1", "n1": "a1"}, True),
    ({"n0": NEW, "n1": OLD}, {"n0": "a1", "n1": "a1"}, False),
    ({"n0": NEW}, {"n0": "a1", "n1": "a1"}, False),  # a member without a session lease
    ({"n0": NEW, "n1": NEW}, {"n0": "a1"}, False),  # its process may have ended
    ({"n0": NEW, "n1": NEW}, {"n0": "a1", "n1": "b2"}, False),  # a predecessor's record
    # a member restarted with the old version
    ({"n0": NEW, "n1": NodeRecord("b2")}, {"n0": "a1", "n1": "b2"}, False),
    ({"n0": NEW, "n1": NEW, "n2": OLD}, {"n0": "a1", "n1": "a1"}, True),  # not configured
    ({"n0": NEW, "n1": NodeRecord("a1", reads=CURRENT_FORMAT + 1)}, {"n0": "a1", "n1": "a1"}, True),
]


@pytest.mark.parametrize(("records", "replying_incarnations", "opens"), GATE)
def test_gate_opens_once_every_configured_member_reads_the_format(
    records: dict[str, NodeRecord], replying_incarnations: dict[str, str], opens: bool
) -> None:
    assert all_members_read_format(MEMBERS, records, replying_incarnations) is opens


# --- records of 0.5.1, and how it reads the present ones --------------------------------------

# Records as stored by 0.5.1; literals, not produced by the code under test.
SPEC = (
    '{"ref":"wk-000001","vintage":"c","crew":"free","cut":"sweep","rank":"standard","rows":6,'
    '"vcpus":2.0,"cards":0.0,"memGb":1.0,"cask":"i","pullGb":0.1,"gleaning":true,"ripenS":4.0}'
)
RECORDS = {
    "nodes/n0": '{"incarnation":"00f1","deaf":false}',
    "parts/0": '{"node":"n0","incarnation":"00f1"}',
    "jobs/wk-000001": '{"stage":"open","tasks":6,"spec":' + SPEC + ',"at":1.5,'
    '"ranges":[[0,4,0],[4,6,1]],"finished":"BQ=="}',
    "jobs/wk-000002": '{"stage":"done","tasks":6}',
    "jobs/wk-000003": '{"stage":"withdrawn","tasks":6,"count":2}',
    "fleet/0/3": '{"i-000360":["big","a",false,"10.1.0.1:9000"]}',
    "shares": '{"tight":[[4.0,0.0],[2.0,0.0],[0.0,0.0]]}',
    "types": '[{"sku":"big","vcpus":8.0,"memGb":32.0,"cards":0.0,"localGb":0.0,"fetchGbPerS":1.0,'
    '"rate":1.0,"spotPrice":0.3,"readyS":3.0,"parcels":["a","b"]}]',
}


def _apply_records(controller: Any, writes: Mapping[str, str | bytes]) -> None:
    for number, (key, value) in enumerate(writes.items()):
        data = value if isinstance(value, bytes) else value.encode()
        controller.replica.apply_committed(f"pt/{key}", data, 10 + number)


def _check_records(controller: Any) -> None:
    job_index = controller.job_index
    job_ = job_index.jobs["wk-000001"]
    assert job_.spec.tasks == 6
    assert job_.record.ranges == [(0, 4, 0), (4, 6, 1)]
    assert [t for t in range(6) if t in job_.finished] == [0, 2]
    assert job_index.jobs["wk-000002"].record.stage == "done"
    assert job_index.cancelled == [(14, "wk-000003")]
    assert controller.membership.alive["n0"].incarnation == "00f1"
    assert controller.membership.leader(0) == "n0"
    assert "i-000360" in controller.agents.records.recorded_machines(0)
    assert controller.scheduler.quotas.share(1, "tight") == (2.0, float("inf"))
    assert controller.autoscaler.types["big"].spot_price == 0.3


def _run(body: Any) -> None:
    async def main() -> None:
        body()

    trio.run(main, clock=trio.testing.MockClock())


def _controller(state: StateLimits = STATE, *, gate_open: bool = False) -> Controller:
    config = settings("n1", state=state)
    controller = Controller(config, policy.parse("", config))
    if gate_open:
        controller.replica.apply_own_commit([Write(KEY, controller.gate.record())], 9)
    return controller


def test_records_of_the_version_in_production_are_read() -> None:
    def body() -> None:
        controller = _controller()
        _apply_records(controller, RECORDS)
        _check_records(controller)
        assert controller.membership.alive["n0"].reads == FIRST_FORMAT

    _run(body)


def test_earlier_versions_read_records_written_while_the_gate_is_closed(
    earlier: EarlierVersion,
) -> None:
    """The new version decodes and encodes each record, and the earlier one reads it."""

    def body() -> None:
        new = _controller()
        _apply_records(new, RECORDS)
        job_ = new.job_index.jobs["wk-000001"]
        spec = job_.spec
        first, record = new.layout.lay_out_new("wk-000004", JobRecord(OPEN, 6, spec, 2.5))
        assert not first
        written: dict[str, str | bytes] = {
            **RECORDS,
            "nodes/n1": msgspec.json.encode(new.membership.session.own_record()),
            "jobs/wk-000001": new.scheduler.range_writer.encode_record_with(job_),
            "jobs/wk-000004": job_record.encode(record),
            "shares": new.scheduler.quotas.shares.change(
                "tight", [(4.0, 0.0), (2.0, 0.0), (0, 0)]
            ).value
            or b"",
            "types": new.autoscaler.catalog.lay_out(list(new.autoscaler.types.values()))[0].value
            or b"",
        }
        assert new.agents.records.chunk_of("i-000360") == 360 // 3 // 10
        old = earlier.controller(settings("n2", state=STATE), "")
        _apply_records(with_present_names(old), {key: written[key] for key in RECORDS})
        _apply_records(
            with_present_names(old),
            {key: written[key] for key in written if key not in RECORDS},
        )
        _check_records(with_present_names(old))
        assert old.job_store.jobs["wk-000004"].record.at == 2.5
        assert old.members.alive["n1"].incarnation == new.membership.incarnation

    _run(body)


def test_both_versions_read_each_others_messages(earlier: EarlierVersion) -> None:
    their_messages = earlier.module("control.messages")
    spec = parse_job(json.dumps(submission(job(1))).encode())
    heartbeat = messages.PeerHeartbeat(
        "n0",
        "i",
        3,
        9,
        0.1,
        0.2,
        [messages.Cancellation("wk-000001", 7, 6, 2)],
        [messages.ShardStatus(0, 5, True, 1.0, 1.0, [], usage={"tight": (1.0, 0.0)})],
        ["i-000001"],
        [],
        [messages.ShardToken(0, 5)],
    )
    for message in (
        heartbeat,
        messages.Cancelled(messages.Cancellation("wk-000001", 7, 6, 2)),
        messages.Forward("GET", "/api/jobs/wk-000001", b""),
        messages.Forwarded(200, b"{}", "1"),
        messages.ScheduleRequest(spec),
        messages.ScheduleReply([TaskRange(0, 6, 1)], "a"),
        messages.Ack(),
    ):
        their_message = their_messages.decode(messages.encode(message))
        assert type(their_message).__struct_config__.tag == type(message).__struct_config__.tag
        assert messages.decode(their_messages.encode(their_message)) == message


def test_version_in_production_writes_its_own_chunks_before_it_empties_others(
    production: EarlierVersion,
) -> None:
    """That version reads chunks of any width, and writes chunks in the order of their numbers."""

    def body() -> None:
        old = production.controller(settings("n2", state=STATE), "")
        width = machine_layout.machines_per_chunk(1024)
        position = 123
        their_chunk = old.workers.records.chunk_of(f"i-{position * 3:06d}")
        our_chunk = machine_layout.chunk_of(position, width)
        assert sorted([our_chunk, their_chunk]) == [their_chunk, our_chunk]
        _apply_records(with_present_names(old), {f"fleet/0/{our_chunk}": RECORDS["fleet/0/3"]})
        assert "i-000360" in old.workers.records.of(0)

    _run(body)


def _write_in_current_format(writer: Any, task_ranges: list[Any]) -> dict[str, str | bytes]:
    """Return `RECORDS` as written by a controller of either version with an open gate."""
    _apply_records(writer, RECORDS)
    job_ = writer.job_index.jobs["wk-000001"]
    before, record = writer.layout.convert(job_)
    assert job_.record.ranges == task_ranges
    writes = [*before, writer.scheduler.quotas.shares.change("tight", [(4.0, 0), (2.0, 0), (0, 0)])]
    writes += writer.autoscaler.catalog.lay_out(list(writer.autoscaler.types.values()))
    return {
        **RECORDS,
        **{write.key.removeprefix("pt/"): write.value or b"" for write in writes},
        "format": writer.gate.record(),
        "nodes/n1": msgspec.json.encode(writer.membership.session.own_record()),
        "jobs/wk-000001": writer.layout.encode_record(job_, record),
    }


@pytest.mark.parametrize("new_writes", [True, False], ids=["new writes", "old writes"])
def test_both_versions_read_each_others_records_written_with_an_open_gate(
    new_writes: bool, version_0_6_0: EarlierVersion
) -> None:
    def body() -> None:
        old = with_present_names(version_0_6_0.controller(settings("n1", state=STATE), ""))
        new = _controller()
        writer: Any = new if new_writes else old
        reader: Any = old if new_writes else new
        _apply_records(writer, {"format": writer.gate.record()})
        assert writer.gate.open
        assert not reader.gate.open
        written = _write_in_current_format(writer, [(0, 4, 0), (4, 6, 1)])
        assert written["jobs/wk-000001"] != RECORDS["jobs/wk-000001"]
        _apply_records(reader, {key: written[key] for key in RECORDS})
        _apply_records(reader, {key: written[key] for key in written if key not in RECORDS})
        _check_records(reader)
        assert reader.gate.open
        assert reader.gate.legacy_chunk_tasks == LEGACY_CHUNK
        node_record = reader.membership.alive["n1"]
        assert (node_record.incarnation, node_record.reads) == (
            writer.membership.incarnation,
            CURRENT_FORMAT,
        )

    _run(body)


# --- finished tasks ----------------------------------------------------------------------------


def _wide(tasks: int, **more: Any) -> str:
    spec = {**json.loads(SPEC), "rows": tasks}
    return json.dumps({"stage": "open", "tasks": tasks, "spec": spec, **more})


@pytest.mark.parametrize("bits_first", [True, False])
@pytest.mark.parametrize("next_value_kb", [2, 1, 0.5])
def test_chunks_of_the_old_layout_are_read_at_their_offsets(
    bits_first: bool, next_value_kb: float
) -> None:
    """Guards against deriving the width of old chunks from the reader's own limits."""

    def body() -> None:
        state = StateLimits(value_kb=2, next=NextStateLimits(value_kb=next_value_kb))
        controller = _controller(state)
        bits = TaskBitmap(8)
        bits.add(1)
        chunk = {"fin/wk-000001/2": json.dumps(bits.to_base64())}
        record = {"jobs/wk-000001": _wide(100_000)}
        order = [chunk, record] if bits_first else [record, chunk]
        for number, writes in enumerate(order):
            for key, value in writes.items():
                controller.replica.apply_committed(f"pt/{key}", value.encode(), 20 + number)
        job_ = controller.job_index.jobs["wk-000001"]
        assert [t for t in range(100_000) if t in job_.finished] == [2 * LEGACY_CHUNK + 1]

    _run(body)


def test_old_chunks_are_read_after_the_settings_have_the_lower_limit() -> None:
    """The width is read from the gate's record, since `value_kb` is the lower limit already."""

    def body() -> None:
        upgraded = _controller()
        later = _controller(StateLimits(value_kb=1, txn_ops=4))
        later.replica.apply_own_commit([Write(KEY, upgraded.gate.record())], 9)
        bits = TaskBitmap(8)
        bits.add(1)
        _apply_records(later, {"fin/wk-000001/1": json.dumps(bits.to_base64())})
        _apply_records(later, {"jobs/wk-000001": _wide(100_000)})
        assert LEGACY_CHUNK + 1 in later.job_index.jobs["wk-000001"].finished

    _run(body)


CONVERTED = [600, 1536, 1537, 4000, LEGACY_CHUNK, LEGACY_CHUNK + 1, 20_000, 100_000]


@pytest.mark.parametrize("tasks", CONVERTED)
@pytest.mark.parametrize("steps", [0, 1, 3, 1000], ids=lambda n: f"{n} writes")
def test_conversion_may_be_interrupted_after_any_write(tasks: int, steps: int) -> None:
    """After any write another controller reads the same tasks and resumes the conversion."""

    def body() -> None:
        first = _controller(gate_open=True)
        done = [0, 1, tasks // 2, tasks - 1]
        bits = TaskBitmap(tasks)
        for task in done:
            bits.add(task)
        stored: dict[str, str | bytes] = {}
        if tasks > LEGACY_CHUNK:
            for number in {t // LEGACY_CHUNK for t in done}:
                text = bits.to_base64(number * LEGACY_CHUNK // 8, LEGACY_CHUNK // 8)
                stored[f"fin/wk-000001/{number}"] = json.dumps(text)
            stored["jobs/wk-000001"] = _wide(tasks)
        else:
            stored["jobs/wk-000001"] = _wide(tasks, finished=bits.to_base64())
        _apply_records(first, stored)
        for writes_made in (steps, 1000):
            job_ = first.job_index.jobs["wk-000001"]
            if not first.layout.needs_conversion(job_):
                break
            before, record = first.layout.convert(job_)
            value = first.layout.encode_record(job_, record)
            writes = [*before, Write("pt/jobs/wk-000001", value)][:writes_made]
            assert all(len(w.value or b"") <= 1024 for w in writes)
            for write in writes:
                stored[write.key.removeprefix("pt/")] = write.value or b""
            first = _controller(gate_open=True)
            _apply_records(first, stored)
            converted = first.job_index.jobs["wk-000001"]
            assert [t for t in range(tasks) if t in converted.finished] == sorted(set(done))
        job_ = first.job_index.jobs["wk-000001"]
        assert not first.layout.needs_conversion(job_)
        assert bool(job_.chunk_tasks) == (tasks > finished_tasks.max_inline_tasks(1024))

    _run(body)


def test_keys_of_finished_jobs_are_removed_a_few_at_a_time() -> None:
    def body() -> None:
        controller = _controller(gate_open=True)
        _apply_records(controller, {f"done/wk-000001/{n * 3072}": '"AA=="' for n in range(6)})
        _apply_records(controller, {"fin/wk-000002/0": '"AA=="', "fin/wk-000003/0": '"AA=="'})
        _apply_records(
            controller,
            {"jobs/wk-000001": _wide(20_000), "jobs/wk-000002": RECORDS["jobs/wk-000002"]},
        )
        assert controller.cleanup.leftover_keys(4) == ["pt/fin/wk-000002/0"]
        controller.replica.apply_committed(
            "pt/jobs/wk-000001", b'{"stage":"done","tasks":20000}', 90
        )
        assert len(controller.cleanup.leftover_keys(4)) == 4
        assert len(controller.cleanup.leftover_keys(100)) == 7  # wk-000003 has no record

    _run(body)


# --- texts in chunks ----------------------------------------------------------------------------


@pytest.mark.parametrize("value_bytes", [64, 512, 2048])
@pytest.mark.parametrize("text", ["", "a" * 5000, '"\\' * 900, "กข" * 700, "\x00\n" * 300])
def test_text_is_joined_from_its_chunks(text: str, value_bytes: int) -> None:
    ref, values = text_chunks.split(text, value_bytes)
    assert all(len(value) <= value_bytes for value in values)
    chunks = {
        text_chunks.ChunkId(ref.digest, n): msgspec.json.decode(v, type=str)
        for n, v in enumerate(values)
    }
    assert text_chunks.join(ref, chunks) == text
    other_ref, other_values = text_chunks.split(text + "b", value_bytes)
    chunks |= {
        text_chunks.ChunkId(other_ref.digest, n): msgspec.json.decode(v, type=str)
        for n, v in enumerate(other_values)
    }
    assert text_chunks.join(ref, chunks) == text
    if values:
        del chunks[text_chunks.ChunkId(ref.digest, 0)]
        assert text_chunks.join(ref, chunks) is None


# --- team shares --------------------------------------------------------------------------------


def test_late_write_in_the_old_format_does_not_change_a_team_with_its_own_key() -> None:
    """Guards against a late write that raises one share without lowering another.

    The shares would then exceed the team's limit together.
    """

    def body() -> None:
        controller = _controller(gate_open=True)
        shares = controller.scheduler.quotas.shares
        _apply_records(controller, {"shares": '{"tight":[[2.0,0.0],[2.0,0.0],[2.0,0.0]]}'})
        change = shares.change("tight", [(1.0, 0.0), (3.0, 0.0), (2.0, 0.0)])
        assert set(shares.versions("tight")) == {"pt/shares", change.key}
        controller.replica.apply_own_commit([change], 30)
        late_value = b'{"tight":[[0.0,0.0],[2.0,0.0],[4.0,0.0]],"free":[[1,1],[1,1],[1,1]]}'
        controller.replica.apply_committed("pt/shares", late_value, 40)
        assert shares.of("tight") == [(1.0, 0.0), (3.0, 0.0), (2.0, 0.0)]
        assert shares.of("free") == [(1.0, 1.0)] * 3

    _run(body)


# --- announced limits ----------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("announced", "effective"),
    [
        (None, StateLimits(100, 20, 8, 8)),
        (NextStateLimits(), StateLimits(100, 20, 8, 8)),
        (NextStateLimits(value_kb=2), StateLimits(100, 20, 2, 8)),
        (NextStateLimits(rps=50, write_rps=5, value_kb=2, txn_ops=4), StateLimits(50, 5, 2, 4)),
        (NextStateLimits(rps=500, txn_ops=80), StateLimits(100, 20, 8, 8)),  # above today's
    ],
)
def test_smaller_of_the_present_and_announced_limits_is_in_force(
    announced: NextStateLimits | None, effective: StateLimits
) -> None:
    def body() -> None:
        state = StateLimits(100, 20, 8, 8, announced)
        assert state.effective() == effective
        config = settings("n0", state=state)
        controller = Controller(config, policy.parse("period = state.write_rps", config))
        assert controller.state_store.limits == effective
        assert controller.policy.period == effective.write_rps

    _run(body)
