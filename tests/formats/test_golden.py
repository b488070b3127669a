"""Golden tests of all external formats: messages, stored records, printed texts.

Neighbouring versions, agents, the cloud, the state store and operators depend on these formats,
so any change is a format change and must not be a side effect of a rename. The expected values
are literals; `golden_forms` holds the longer ones.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
import trio.testing
from click.testing import CliRunner

from pitchtally.cli.commands import main
from pitchtally.cli.configuration import DEFAULT_POLICY_FILE
from pitchtally.config import policy as policy_module
from pitchtally.config.figures import EARLIER_NAMES as POLICY_EARLIER_NAMES
from pitchtally.config.figures import FIGURES as POLICY_FIGURES
from pitchtally.config.settings import NextStateLimits, StateLimits
from pitchtally.controller import Controller
from pitchtally.formats import finished_tasks, machine_layout, text_chunks
from pitchtally.formats import format_1 as legacy
from pitchtally.formats.gate import CURRENT_FORMAT, FormatRecord
from pitchtally.formats.gate import KEY as GATE_KEY
from pitchtally.jobs.job_record import CANCELLED, DONE, OPEN, TaskRange
from pitchtally.jobs.job_record import JobRecord as JobRecord
from pitchtally.jobs.task_bitmap import TaskBitmap
from pitchtally.membership.messages import (
    Ack,
    Cancelled,
    Forward,
    Forwarded,
    MachineFlag,
    PeerHeartbeat,
    ScheduleReply,
    ScheduleRequest,
)
from pitchtally.membership.messages import decode as decode_message
from pitchtally.membership.messages import encode as encode_message
from pitchtally.membership.nodes import NodeRecord
from pitchtally.membership.shards import ShardLeader
from pitchtally.protocol import agent_api, cloud_api, state_store_api, user_api
from pitchtally.protocol.agent_api import (
    ACKNOWLEDGE,
    BUSY,
    ERROR,
    EXITED,
    FETCHING,
    GANG_INCOMPLETE,
    GANG_PEERS_LOST,
    INSUFFICIENT_CAPACITY,
    RUNNING,
    SAVING,
    START,
    STOP,
    STOPPED,
    UNKNOWN,
    WAITING,
    AgentHeartbeat,
    Command,
    CommandRequest,
    HeartbeatResponse,
    Redirect,
    TaskStatus,
)
from pitchtally.protocol.agent_api import DONE as TASK_DONE
from pitchtally.protocol.cloud_api import (
    BOOTING,
    FAILED,
    LaunchRequest,
    ListedMachine,
    MachineList,
    MachineNames,
    MachineType,
    MachineTypeList,
)
from pitchtally.protocol.state_store_api import (
    Delete,
    Event,
    Events,
    LeaseGrant,
    LeaseRequest,
    Precondition,
    Put,
    StoredItem,
    StoredPage,
    Transaction,
    TransactionResult,
)
from pitchtally.protocol.user_api import (
    ARRAY,
    GANG,
    PENDING,
    RANKS,
    SERVICE,
    WITHDRAWN,
    JobSpec,
    JobView,
)
from pitchtally.state_store.client import Write

from ..harness import simulation
from ..harness.simulation import Simulation, job, settings
from .golden_forms import MESSAGES, PROTOCOL, RECORDS, JsonForm, PackedForm

PROTOCOL_MODULES = [agent_api, cloud_api, state_store_api, user_api]

# Types by the labels of `golden_forms`, which do not change when a type is renamed.
PROTOCOL_TYPES: dict[str, type[Any]] = {
    "JobSpec": JobSpec,
    "TaskReport": TaskStatus,
    "Report": AgentHeartbeat,
    "Order": Command,
    "Orders": HeartbeatResponse,
    "DirectOrders": CommandRequest,
    "Redirect": Redirect,
    "JobView": JobView,
    "MachineType": MachineType,
    "MachineTypes": MachineTypeList,
    "Listed": ListedMachine,
    "MachineList": MachineList,
    "Hire": LaunchRequest,
    "Names": MachineNames,
    "StoredItem": StoredItem,
    "StoredPage": StoredPage,
    "Event": Event,
    "Events": Events,
    "Revision": TransactionResult,
    "Condition": Precondition,
    "Put": Put,
    "Delete": Delete,
    "LeaseGrant": LeaseGrant,
    "LeaseRequest": LeaseRequest,
}
RECORD_TYPES: dict[str, type[Any]] = {
    "Record": JobRecord,
    "Node": NodeRecord,
    "Owner": ShardLeader,
    "FormatRecord": FormatRecord,
}
MESSAGE_TYPES: dict[str, type[Any]] = {
    "Heartbeat": PeerHeartbeat,
    "Cancelled": Cancelled,
    "Forward": Forward,
    "Forwarded": Forwarded,
    "SplitRequest": ScheduleRequest,
    "SplitAnswer": ScheduleReply,
    "Ack": Ack,
}
JSON_FORMS: list[tuple[type[Any], JsonForm]] = [
    *((PROTOCOL_TYPES[label], form) for label, form in PROTOCOL.items()),
    *((RECORD_TYPES[label], form) for label, form in RECORDS.items()),
]
PACKED_FORMS: list[tuple[type[Any], PackedForm]] = [
    (MESSAGE_TYPES[label], form) for label, form in MESSAGES.items()
]
LABELS = [*PROTOCOL, *RECORDS]


def as_tuples(value: Any) -> Any:
    """Return a value with structs replaced by tuples, to compare it without field names."""
    if isinstance(value, msgspec.Raw):
        return bytes(value)
    if isinstance(value, msgspec.Struct):
        return tuple(as_tuples(item) for item in msgspec.structs.astuple(value))
    if isinstance(value, tuple):
        return tuple(as_tuples(item) for item in value)
    if isinstance(value, list):
        return [as_tuples(item) for item in value]
    if isinstance(value, dict):
        return {key: as_tuples(item) for key, item in value.items()}
    return value


def fields_left_at_default(value: msgspec.Struct) -> list[str]:
    """Return the fields of an example that equal their default, so that they test nothing."""
    left = []
    for field in msgspec.structs.fields(value):
        default = field.default
        if field.default_factory is not msgspec.NODEFAULT:
            default = field.default_factory()
        if getattr(value, field.name) == default:
            left.append(field.name)
    return left


# --- the protocol, and records ------------------------------------------------------------------


@pytest.mark.parametrize(("kind", "form"), JSON_FORMS, ids=LABELS)
def test_full_json_example(kind: type[Any], form: JsonForm) -> None:
    decoded = msgspec.json.decode(form.full, type=kind)
    assert msgspec.json.encode(decoded) == form.full
    assert as_tuples(decoded) == form.fields
    assert not fields_left_at_default(decoded)


@pytest.mark.parametrize(("kind", "form"), JSON_FORMS, ids=LABELS)
def test_minimal_json_example(kind: type[Any], form: JsonForm) -> None:
    decoded = msgspec.json.decode(form.least, type=kind)
    assert as_tuples(decoded) == form.least_fields
    assert msgspec.json.encode(decoded) == form.least_encoded
    assert msgspec.json.decode(form.least_encoded, type=kind) == decoded


def test_transaction() -> None:
    """Transactions are only encoded: a decoder could not distinguish a write from a removal."""
    sent = Transaction(
        [Precondition("pt/a", 3), Precondition("pt/b", 0)],
        [Put("pt/a", msgspec.Raw(b'{"x":1}'), 7), Put("pt/b", msgspec.Raw(b"2")), Delete("pt/c")],
    )
    assert msgspec.json.encode(sent) == (
        b'{"if":[{"path":"pt/a","stamp":3},{"path":"pt/b","stamp":0}],"writes":['
        b'{"write":"pt/a","v":{"x":1},"permit":7},{"write":"pt/b","v":2},{"remove":"pt/c"}]}'
    )


def test_every_protocol_type_has_a_golden_form() -> None:
    defined = {
        each
        for module in PROTOCOL_MODULES
        for each in vars(module).values()
        if isinstance(each, type) and issubclass(each, msgspec.Struct)
    }
    defined.discard(msgspec.Struct)
    assert defined == {*PROTOCOL_TYPES.values(), Transaction}
    assert list(PROTOCOL_TYPES) == list(PROTOCOL)


def test_constants_of_the_protocol() -> None:
    assert RANKS == ("production", "urgent", "standard", "idle")
    assert (ARRAY, GANG, SERVICE) == ("sweep", "gang", "standing")
    assert (START, STOP, ACKNOWLEDGE) == ("start", "kill", "forget")
    assert (FETCHING, WAITING, RUNNING, SAVING, EXITED) == (
        "fetching",
        "waiting",
        "running",
        "flushing",
        "ended",
    )
    assert (
        TASK_DONE,
        STOPPED,
        GANG_PEERS_LOST,
        GANG_INCOMPLETE,
        ERROR,
        INSUFFICIENT_CAPACITY,
        BUSY,
        UNKNOWN,
    ) == (
        "done",
        "stopped",
        "mates_gone",
        "incomplete",
        "error",
        "full",
        "busy",
        "unknown",
    )
    assert (PENDING, WITHDRAWN) == ("pending", "withdrawn")
    assert (BOOTING, FAILED) == ("starting", "failed")


def test_stages_of_a_job_record() -> None:
    assert (OPEN, DONE, CANCELLED) == ("open", "done", "withdrawn")


# --- messages between controllers ---------------------------------------------------------------


@pytest.mark.parametrize(("kind", "form"), PACKED_FORMS, ids=MESSAGES)
def test_full_message(kind: type[Any], form: PackedForm) -> None:
    decoded = decode_message(bytes.fromhex(form.full))
    assert type(decoded) is kind
    assert encode_message(decoded).hex() == form.full
    assert as_tuples(decoded) == form.fields
    assert not fields_left_at_default(decoded)


@pytest.mark.parametrize(("kind", "form"), PACKED_FORMS, ids=MESSAGES)
def test_minimal_message(kind: type[Any], form: PackedForm) -> None:
    decoded = decode_message(bytes.fromhex(form.least))
    assert type(decoded) is kind
    assert as_tuples(decoded) == form.least_fields
    assert encode_message(decoded).hex() == form.least_encoded


def test_flags_of_a_machine() -> None:
    assert [flag.value for flag in MachineFlag] == [
        "",
        "new",
        "lost",
        "unheard",
        "deaf",
        "notice",
        "drain",
        "sick",
    ]


# --- keys and values in the state store -------------------------------------------------------

NODE = "n1"
STATE = StateLimits(
    rps=300, write_rps=100, value_kb=2, txn_ops=16, next=NextStateLimits(value_kb=1, txn_ops=4)
)
FORMAT_RECORD = b'{"format":2,"legacy_chunk_tasks":6144}'


def controller_of(gate_open: bool) -> Controller:
    config = settings(NODE, state=STATE)
    controller = Controller(config, policy_module.parse("", config))
    if gate_open:
        controller.replica.apply_committed("pt/format", FORMAT_RECORD, 9)
    return controller


def run_on_mock_clock(body: Callable[[], None]) -> None:
    async def run() -> None:
        body()

    trio.run(run, clock=trio.testing.MockClock())


def stored(writes: Iterable[Write]) -> list[tuple[str, bytes | None]]:
    return [(write.key, write.value) for write in writes]


SPEC = (
    b'{"ref":"wk-000001","vintage":"c","crew":"free","cut":"sweep","rank":"standard","rows":%d,'
    b'"vcpus":2.0,"cards":0.0,"memGb":1.0,"cask":"%s","pullGb":0.1,"gleaning":true,"ripenS":4.0}'
)


def open_record(tasks: int, more: bytes = b"", image: bytes = b"i") -> bytes:
    return b'{"stage":"open","tasks":%d,"spec":%s%s}' % (tasks, SPEC % (tasks, image), more)


def test_format_record() -> None:
    def body() -> None:
        assert (GATE_KEY, CURRENT_FORMAT) == ("pt/format", 2)
        assert controller_of(False).gate.record() == FORMAT_RECORD

    run_on_mock_clock(body)


def test_keys_of_a_job() -> None:
    ref = text_chunks.TextRef("00ff", 2)
    assert finished_tasks.key("wk-000001", 3072) == "pt/done/wk-000001/3072"
    assert legacy.legacy_key("wk-000001", 2) == "pt/fin/wk-000001/2"
    assert text_chunks.key("wk-000001", ref, 1) == "pt/text/wk-000001/00ff/1"


def test_layout_widths() -> None:
    """Chunk sizes by the size limit of a value; those of 0.5.1 depend on that limit alone."""
    kilobytes = (1, 2, 8, 64)
    assert [finished_tasks.max_inline_tasks(kb * 1024) for kb in kilobytes] == [
        1536,
        3072,
        12288,
        98304,
    ]
    assert [finished_tasks.tasks_per_chunk(kb * 1024) for kb in kilobytes] == [
        3072,
        6144,
        24576,
        196608,
    ]
    assert [legacy.tasks_per_chunk(kb) for kb in kilobytes] == [3072, 6144, 24576, 196608]
    assert [legacy.machines_per_chunk(kb) for kb in kilobytes] == [5, 10, 40, 327]
    assert [machine_layout.machines_per_chunk(kb * 1024) for kb in kilobytes] == [7, 15, 61, 491]
    assert [machine_layout.chunk_of(position, 7) for position in (0, 6, 7, 120)] == [
        7000000000,
        7000000000,
        7000000001,
        7000000017,
    ]


def test_chunks_of_a_text() -> None:
    ref, values = text_chunks.split('one "two" \\ three\nกข', 16)
    assert ref == ("49593c2b2478f341", 3)
    assert values == [b'"one \\"two\\" "', b'"\\\\ three\\n"', b'"\xe0\xb8\x81\xe0\xb8\x82"']


def test_encoded_task_bitmap() -> None:
    bits = TaskBitmap(20)
    for task in (0, 2, 9, 19):
        bits.add(task)
    assert bits.to_base64() == "BQII"
    assert bits.to_base64(1, 1) == "Ag=="


@pytest.mark.parametrize(("gate_open", "chunk"), [(False, 12), (True, 7000000017)])
def test_chunk_of_a_machine(gate_open: bool, chunk: int) -> None:
    def body() -> None:
        assert controller_of(gate_open).agents.records.chunk_of("i-000360") == chunk

    run_on_mock_clock(body)


@pytest.mark.parametrize(
    ("gate_open", "key", "value"),
    [
        (False, "pt/shares", b'{"other":[[1.0,0.0],[2.0,0.5]],"a b/c":[[4.0,0.0],[2.5,1.0]]}'),
        (True, "pt/shares/a%20b%2Fc", b"[[4.0,0.0],[2.5,1.0]]"),
    ],
)
def test_shares_of_a_team(gate_open: bool, key: str, value: bytes) -> None:
    def body() -> None:
        controller = controller_of(gate_open)
        controller.replica.apply_committed("pt/shares", b'{"other":[[1.0,0.0],[2.0,0.5]]}', 10)
        shares = controller.scheduler.quotas.shares
        assert shares.of("other") == [(1.0, 0.0), (2.0, 0.5)]
        new_shares = [(4.0, 0.0), (2.5, 1.0)]
        assert stored([shares.change("a b/c", new_shares)]) == [(key, value)]
        controller.replica.apply_committed(key, value, 11)
        assert shares.of("a b/c") == new_shares

    run_on_mock_clock(body)


def machine_type(name: str) -> bytes:
    return (
        b'{"sku":"%s","vcpus":8.0,"memGb":32.0,"cards":1.0,"localGb":2.0,"fetchGbPerS":3.0,'
        b'"rate":4.0,"spotPrice":0.5,"readyS":6.0,"parcels":["a","b"]}' % name.encode()
    )


@pytest.mark.parametrize("gate_open", [False, True])
def test_machine_types(gate_open: bool) -> None:
    """Ten machine types exceed the limit of 1 KiB for a value."""
    names = [f"type-{number}" for number in range(10)]

    def page(page_names: list[str]) -> bytes:
        return b"[" + b",".join(machine_type(name) for name in page_names) + b"]"

    expected: list[tuple[str, bytes | None]] = [("pt/types", page(names))]
    if gate_open:
        expected = [
            ("pt/types/0", page(names[:7])),
            ("pt/types/1", page(names[7:])),
            ("pt/types", None),
        ]

    def body() -> None:
        controller = controller_of(gate_open)
        machine_catalog = controller.autoscaler.catalog
        controller.replica.apply_committed("pt/types", page(names), 10)
        assert (
            stored(machine_catalog.lay_out(list(machine_catalog.types_by_name.values())))
            == expected
        )

    run_on_mock_clock(body)


@pytest.mark.parametrize("gate_open", [False, True])
def test_new_job(gate_open: bool) -> None:
    """The job has many tasks: format 2 stores its finished tasks in separate keys."""

    def body() -> None:
        controller = controller_of(gate_open)
        spec = msgspec.json.decode(SPEC % (5000, b"i"), type=JobSpec)
        record = JobRecord(OPEN, 5000, spec, 2.5, [TaskRange(0, 4000, 0), TaskRange(4000, 5000, 1)])
        first, record = controller.layout.lay_out_new("wk-000001", record)
        more = b',"at":2.5,"ranges":[[0,4000,0],[4000,5000,1]]'
        if gate_open:
            more += b',"chunk_tasks":3072'
        assert not first
        assert msgspec.json.encode(record) == open_record(5000, more)

    run_on_mock_clock(body)


LONG_IMAGE = b"i" * 900
SPEC_CHUNKS: list[tuple[str, bytes | None]] = [
    (
        "pt/text/wk-000001/f29b476e0a94946c/0",
        b'"{\\"ref\\":\\"wk-000001\\",\\"vintage\\":\\"c\\",\\"crew\\":\\"free\\",\\"cut\\":\\"sweep\\",'
        b'\\"rank\\":\\"standard\\",\\"rows\\":6,\\"vcpus\\":2.0,\\"cards\\":0.0,\\"memGb\\":1.0,\\"cask\\":\\"'
        b'%s"' % (b"i" * 605),
    ),
    (
        "pt/text/wk-000001/f29b476e0a94946c/1",
        b'"%s' % (b"i" * 295) + b'\\",\\"pullGb\\":0.1,\\"gleaning\\":true,\\"ripenS\\":4.0}"',
    ),
]
SPEC_REF = b'["f29b476e0a94946c",2]'


def test_new_job_with_a_long_spec() -> None:
    def body() -> None:
        controller = controller_of(True)
        spec = msgspec.json.decode(SPEC % (6, LONG_IMAGE), type=JobSpec)
        first, record = controller.layout.lay_out_new("wk-000001", JobRecord(OPEN, 6, spec, 2.5))
        assert stored(first) == SPEC_CHUNKS
        assert msgspec.json.encode(record) == (
            b'{"stage":"open","tasks":6,"at":2.5,"spec_text":%s}' % SPEC_REF
        )

    run_on_mock_clock(body)


def test_long_spec_is_read_from_its_chunks() -> None:
    def body() -> None:
        controller = controller_of(True)
        for number, (key, value) in enumerate(SPEC_CHUNKS):
            controller.replica.apply_committed(key, value or b"", 10 + number)
        value = b'{"stage":"open","tasks":6,"at":2.5,"spec_text":%s}' % SPEC_REF
        controller.replica.apply_committed("pt/jobs/wk-000001", value, 20)
        job_ = controller.job_index.jobs["wk-000001"]
        assert msgspec.json.encode(job_.spec) == SPEC % (6, LONG_IMAGE)
        assert controller.layout.encode_record(job_, job_.record) == value

    run_on_mock_clock(body)


def test_conversion_of_a_job_of_the_old_format() -> None:
    """Finished tasks are moved to separate keys, and the spec is split into chunks."""

    def body() -> None:
        controller = controller_of(True)
        controller.replica.apply_committed("pt/fin/wk-000001/0", b'"BQ=="', 10)
        controller.replica.apply_committed("pt/fin/wk-000001/1", b'"Ag=="', 11)
        more = b',"at":2.5,"ranges":[[0,9000,0]]'
        old = open_record(9000, more, LONG_IMAGE)
        controller.replica.apply_committed("pt/jobs/wk-000001", old, 12)
        job_ = controller.job_index.jobs["wk-000001"]
        assert controller.layout.needs_conversion(job_)
        first, record = controller.layout.convert(job_)
        assert [write.key for write in first[2:]] == [
            "pt/text/wk-000001/ffd3fd853c0ec1a0/0",
            "pt/text/wk-000001/ffd3fd853c0ec1a0/1",
        ]
        assert stored(first[:2]) == [
            ("pt/done/wk-000001/0", b'"BQ%s"' % (b"A" * 510)),
            ("pt/done/wk-000001/6144", b'"Ag%s"' % (b"A" * 474)),
        ]
        assert controller.layout.encode_record(job_, record) == CONVERTED

    run_on_mock_clock(body)


CONVERTED = (
    b'{"stage":"open","tasks":9000,"at":2.5,"ranges":[[0,9000,0]],"chunk_tasks":3072,'
    b'"spec_text":["ffd3fd853c0ec1a0",2]}'
)


@pytest.mark.parametrize(
    ("tasks", "more", "expected"),
    [
        (6, b"", ("pt/jobs/wk-000001", open_record(6, b',"finished":"Ig=="'))),
        (9000, b"", ("pt/fin/wk-000001/0", b'"Ig%s"' % (b"A" * 1022))),
        (9000, b',"chunk_tasks":3072', ("pt/done/wk-000001/0", b'"Ig%s"' % (b"A" * 510))),
    ],
    ids=["in the record", "chunk of the old format", "chunk of the present format"],
)
def test_progress(tasks: int, more: bytes, expected: tuple[str, bytes]) -> None:
    def body() -> None:
        controller = controller_of(False)
        controller.replica.apply_committed("pt/jobs/wk-000001", open_record(tasks, more), 10)
        job_ = controller.job_index.jobs["wk-000001"]
        joined = TaskBitmap(tasks)
        for task in (1, 5):
            job_.unwritten_tasks.add(task)
            joined.add(task)
        assert stored(controller.layout.progress_writes(job_, joined)) == [expected]

    run_on_mock_clock(body)


def test_keys_removed_after_a_job() -> None:
    def body() -> None:
        controller = controller_of(True)
        keys = ["pt/done/wk-000001/0", "pt/fin/wk-000001/1", "pt/text/wk-000001/00ff/0"]
        for number, key in enumerate(keys):
            controller.replica.apply_committed(key, b'"AA=="', 10 + number)
        controller.replica.apply_committed("pt/jobs/wk-000001", b'{"stage":"done","tasks":6}', 20)
        assert controller.cleanup.leftover_keys(10) == keys

    run_on_mock_clock(body)


def test_cancellation_received_from_a_peer() -> None:
    def body() -> None:
        controller = controller_of(True)
        values: list[tuple[str, bytes | None, int]] = []
        controller.replica.listen("", lambda *change: values.append(change))
        controller.job_index.apply_peer_cancellation("wk-000001", 12, 6, 2)
        assert values == [
            ("jobs/wk-000001", b'{"stage":"withdrawn","tasks":6,"count":2}', 12),
        ]

    run_on_mock_clock(body)


# All keys stored by three controllers; random incarnations are replaced by <incarnation>.
STORED = {
    "pt/fleet/0/61000000000": '{"i-000003":["big","a",false,"10.1.0.1:9003"],'
    '"i-000006":["big","a",true,"10.1.0.1:9006"]}',
    "pt/fleet/1/61000000000": '{"i-000001":["big","a",false,"10.1.0.1:9001"],'
    '"i-000004":["big","b",false,"10.1.0.1:9004"]}',
    "pt/fleet/2/61000000000": '{"i-000002":["big","b",false,"10.1.0.1:9002"],'
    '"i-000005":["big","a",true,"10.1.0.1:9005"]}',
    "pt/format": '{"format":2,"legacy_chunk_tasks":24576}',
    "pt/jobs/wk-000001": '{"stage":"done","tasks":6}',
    "pt/jobs/wk-000002": '{"stage":"withdrawn","tasks":6}',
    "pt/jobs/wk-000003": '{"stage":"open","tasks":1,"spec":{"ref":"wk-000003","vintage":"c",'
    '"crew":"free","cut":"standing","rank":"standard","rows":1,"vcpus":2.0,"cards":0.0,'
    '"memGb":1.0,"cask":"i","pullGb":0.1,"gleaning":true,"ripenS":4.0,"rackS":0.0,'
    '"bottleS":0.0},"at":2.014,"ranges":[[0,1,1]]}',
    "pt/nodes/n0": '{"incarnation":"<incarnation>","deaf":false,"reads":2}',
    "pt/nodes/n1": '{"incarnation":"<incarnation>","deaf":false,"reads":2}',
    "pt/nodes/n2": '{"incarnation":"<incarnation>","deaf":false,"reads":2}',
    "pt/parts/0": '{"node":"n0","incarnation":"<incarnation>"}',
    "pt/parts/1": '{"node":"n1","incarnation":"<incarnation>"}',
    "pt/parts/2": '{"node":"n2","incarnation":"<incarnation>"}',
    "pt/types": '[{"sku":"big","vcpus":8.0,"memGb":32.0,"cards":0.0,"localGb":0.0,'
    '"fetchGbPerS":1.0,"rate":1.0,"spotPrice":0.3,"readyS":3.0,"parcels":["a","b"]}]',
}
LEASED_KEYS = ["pt/nodes/n0", "pt/nodes/n1", "pt/nodes/n2"]


def test_all_that_is_stored(monkeypatch: pytest.MonkeyPatch) -> None:
    """Run three controllers with a finished job, a cancelled job and a running service."""
    stored_items: dict[str, tuple[Any, int, int | None]] = {}

    async def body(sim: Simulation) -> None:
        await sim.submit(job(1))
        await sim.submit(job(2, realS=100.0, ripenS=100.0))
        await sim.submit(job(3, cut="standing", rows=1))
        await trio.sleep(5)
        await sim.cancel("wk-000002")
        await sim.wait_until_finished(["wk-000001", "wk-000002"])
        await trio.sleep(3)
        stored_items.update(sim.state_store.items)

    simulation.run(monkeypatch, body)
    values = {
        key: re.sub('"[0-9a-f]{16}"', '"<incarnation>"', json.dumps(item[0], separators=(",", ":")))
        for key, item in sorted(stored_items.items())
    }
    assert values == STORED
    assert sorted(key for key, item in stored_items.items() if item[2] is not None) == LEASED_KEYS
    for node, shard in (("n0", "0"), ("n1", "1"), ("n2", "2")):
        leader = stored_items[f"pt/parts/{shard}"][0]["incarnation"]
        assert stored_items[f"pt/nodes/{node}"][0]["incarnation"] == leader


# --- what operators write and read --------------------------------------------------------------

POLICY_NAMES = (
    "admit_wait",
    "bound",
    "call_timeout",
    "cloud_timeout",
    "defer_share",
    "heartbeat_interval",
    "hire_patience",
    "idle_release",
    "list_every",
    "max_evidence_age",
    "period",
    "preempt_after",
    "ready_for",
    "session_ttl",
    "silence",
    "size_samples",
    "start_within",
    "stretch_samples",
    "task_samples",
    "unhealthy_rest",
    "watch_share",
)
POLICY_ALIASES = (
    ("beat", "heartbeat_interval"),
    ("blind", "max_evidence_age"),
    ("sick_rest", "unhealthy_rest"),
)

SETTINGS = """\
node_name = "c-0"
public_addr = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
domain = "a"
[[members]]
node_name = "c-1"
address = "10.0.0.2:8081"
domain = "b"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[deployment]
count = 3
zones = ["a", "b"]
clock_off_ms = 400.0
[[deployment.teams]]
name = "free"
cpus = 1.0
cpus_max = 2.0
gpus = 3.0
gpus_max = 4.0
[[deployment.objectives]]
kind = "start"
class = "c"
within_s = 5.0
within_ms = 6.0
share = 0.9
times = 2.0
most = 7.0
[deployment.workers]
report_s = 3.0
lease_s = 21.0
gang_wait_s = 31.0
gang_peer_s = 6.0
cancel_s = 61.0
[deployment.state]
rps = 90
write_rps = 25
value_kb = 16
txn_ops = 12
[deployment.state.next]
rps = 80
write_rps = 21
value_kb = 4
txn_ops = 6
[deployment.cloud]
rps = 3
list_lag_s = 11
[deployment.machine_limits]
cores = 2
mem_mb = 512
max_connections = 900
"""
MINIMAL_SETTINGS = """\
node_name = "c-0"
public_addr = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[deployment]
count = 3
[deployment.workers]
report_s = 3.0
lease_s = 21.0
"""
POLICY = """\
# comment
beat = 0.5
silence = workers.lease_s * 2 # comment
blind = min(beat * 4, 9)
idle_release = count if state.rps < cloud.rps else machine_limits.cores + workers.gang_wait_s
"""
CHECK_OUTPUT = """\
admit_wait = 0.75
bound = 2
call_timeout = 2.1
cloud_timeout = 7
defer_share = 0.05
heartbeat_interval = 0.5
hire_patience = 0.4
idle_release = 33
list_every = 5.5
max_evidence_age = 2
period = 5
preempt_after = 1.5
ready_for = 189
session_ttl = 5.25
silence = 42
size_samples = 6
start_within = 240
stretch_samples = 16
task_samples = 8
unhealthy_rest = 63
watch_share = 0.25
state.rps = 80 (today 90)
state.write_rps = 21 (today 25)
state.value_kb = 4 (today 16)
state.txn_ops = 6 (today 12)
"""
MINIMAL_CHECK_OUTPUT = """\
admit_wait = 0.75
bound = 2
call_timeout = 2.1
cloud_timeout = 7
defer_share = 0.05
heartbeat_interval = 1
hire_patience = 0.4
idle_release = 15
list_every = 5
max_evidence_age = 23.4
period = 5
preempt_after = 1.5
ready_for = 189
session_ttl = 5.25
silence = 26.25
size_samples = 6
start_within = 240
stretch_samples = 16
task_samples = 8
unhealthy_rest = 63
watch_share = 0.25
state.rps = 100 (today 100)
state.write_rps = 20 (today 20)
state.value_kb = 8 (today 8)
state.txn_ops = 8 (today 8)
"""
HELP: dict[str, str] = {
    "": """\
Usage: pitchtally [OPTIONS] COMMAND [ARGS]...

  A fair, decentralised cluster scheduler.

Options:
  --version   Show the version and exit.
  -h, --help  Show this message and exit.

Commands:
  cancel  Cancel a job.
  check   Check settings and policy; print the policy's figures and the...
  serve   Run a controller until it is killed.
  status  Show a job's state.
  submit  Submit the job described in FILE (JSON; - for standard input).
""",
    "serve": """\
Usage: pitchtally serve [OPTIONS]

  Run a controller until it is killed.

Options:
  --config TEXT  The platform's settings file (TOML).  [required]
  --policy TEXT  Operators' policy file; default deploy/policy.conf, if there.
  -h, --help     Show this message and exit.
""",
    "check": """\
Usage: pitchtally check [OPTIONS]

  Check settings and policy; print the policy's figures and the store's limits.

Options:
  --config TEXT  The platform's settings file (TOML).  [required]
  --policy TEXT  Operators' policy file; default deploy/policy.conf, if there.
  -h, --help     Show this message and exit.
""",
    "submit": """\
Usage: pitchtally submit [OPTIONS] FILE

  Submit the job described in FILE (JSON; - for standard input).

Options:
  --node TEXT  Address of a controller or load balancer.  [default:
               127.0.0.1:8080]
  -h, --help   Show this message and exit.
""",
    "status": """\
Usage: pitchtally status [OPTIONS] JOB

  Show a job's state.

Options:
  --node TEXT  Address of a controller or load balancer.  [default:
               127.0.0.1:8080]
  -h, --help   Show this message and exit.
""",
    "cancel": """\
Usage: pitchtally cancel [OPTIONS] JOB

  Cancel a job.

Options:
  --node TEXT  Address of a controller or load balancer.  [default:
               127.0.0.1:8080]
  -h, --help   Show this message and exit.
""",
}


@pytest.fixture(autouse=True)
def clear_environment(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("PITCHTALLY_POLICY", "PITCHTALLY_NODE", "COLUMNS"):
        monkeypatch.delenv(name, raising=False)


def checked(folder: Path, settings_text: str, *more: str) -> tuple[int, str, str]:
    file = folder / "settings.toml"
    file.write_text(settings_text)
    result = CliRunner().invoke(main, ["check", "--config", str(file), *more])
    return result.exit_code, result.stdout, result.stderr.replace(str(folder), "FOLDER")


def test_check_with_every_setting(tmp_path: Path) -> None:
    policy = tmp_path / "policy.conf"
    policy.write_text(POLICY)
    assert checked(tmp_path, SETTINGS, "--policy", str(policy)) == (0, CHECK_OUTPUT, "")


def test_check_with_minimal_settings(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The project contains no default policy file, so only the settings take effect."""
    assert DEFAULT_POLICY_FILE.parts[-2:] == ("deploy", "policy.conf")
    assert not DEFAULT_POLICY_FILE.exists()
    assert checked(tmp_path, MINIMAL_SETTINGS) == (0, MINIMAL_CHECK_OUTPUT, "")
    policy = tmp_path / "policy.conf"
    policy.write_text(POLICY)
    monkeypatch.setenv("PITCHTALLY_POLICY", str(policy))
    assert checked(tmp_path, SETTINGS) == (0, CHECK_OUTPUT, "")


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("count = 3", "count = 0", "FOLDER/settings.toml: deployment.count: must be above 0, is 0"),
        (
            "lease_s = 21.0",
            "",
            "FOLDER/settings.toml: Object missing required field `lease_s`"
            " - at `$.deployment.workers`",
        ),
        (
            'state = "10.2.0.1:2379"',
            'state = "10.2.0.1"',
            "FOLDER/settings.toml: endpoints.state: '10.2.0.1' is not host:port",
        ),
    ],
)
def test_check_of_wrong_settings(tmp_path: Path, old: str, new: str, message: str) -> None:
    settings_text = MINIMAL_SETTINGS.replace(old, new)
    assert settings_text != MINIMAL_SETTINGS
    assert checked(tmp_path, settings_text) == (2, "", f"pitchtally: {message}\n")


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("patience = 1", "FOLDER/policy.conf:1: unknown figure 'patience'"),
        ("bound = 0", "FOLDER/policy.conf:1: bound: 0 is outside 1 to 1000"),
        ("beat = 1\nheartbeat_interval = 1", "FOLDER/policy.conf:2: heartbeat_interval: set twice"),
    ],
)
def test_check_of_a_wrong_policy(tmp_path: Path, line: str, message: str) -> None:
    policy = tmp_path / "policy.conf"
    policy.write_text(line)
    result = checked(tmp_path, MINIMAL_SETTINGS, "--policy", str(policy))
    assert result == (2, "", f"pitchtally: {message}\n")


def test_help() -> None:
    for command, expected in HELP.items():
        arguments = [*command.split(), "--help"]
        result = CliRunner().invoke(main, arguments, prog_name="pitchtally")
        assert (result.exit_code, result.output) == (0, expected), command
    assert len(HELP) == 6
    assert sorted(main.commands) == ["cancel", "check", "serve", "status", "submit"]


def test_policy_names() -> None:
    assert tuple(sorted(POLICY_FIGURES)) == POLICY_NAMES
    assert tuple(sorted(POLICY_EARLIER_NAMES.items())) == POLICY_ALIASES
    config = settings(NODE)
    accepted = policy_module.parse("", config)
    assert tuple(name for name, _ in accepted.items()) == POLICY_NAMES


@pytest.mark.parametrize(("earlier", "name"), POLICY_ALIASES)
def test_earlier_policy_name_is_accepted(earlier: str, name: str) -> None:
    config = settings(NODE)
    accepted = policy_module.parse(f"{earlier} = 2.5", config)
    assert dict(accepted.items())[name] == 2.5
