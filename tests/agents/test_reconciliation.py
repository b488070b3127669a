"""Reconciliation functions, and detection of responses without effect."""

from __future__ import annotations

import json

import pytest
import trio
import trio.testing

from pitchtally.agents.heartbeats.reconciliation import (
    adopted_placement,
    missing_placements,
    retained_exits,
)
from pitchtally.agents.heartbeats.response_effect import check_last_response
from pitchtally.agents.machine import Machine, Placement, TaskExit
from pitchtally.api.validation import parse_job
from pitchtally.jobs.index import Job
from pitchtally.jobs.job_record import CANCELLED, OPEN, JobRecord
from pitchtally.protocol.agent_api import (
    ACKNOWLEDGE,
    RUNNING,
    START,
    AgentHeartbeat,
    Command,
    TaskStatus,
)

from ..harness.simulation import job

LEASE_S = 10.0
ID = "wk-000001"
KEY = f"{ID}/0"


@pytest.fixture(autouse=True)
def clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fix the current time, for state that is created outside the event loop."""
    monkeypatch.setattr(trio, "current_time", lambda: 100.0)


def _job(stage: str = OPEN) -> Job:
    spec = parse_job(json.dumps(job(1, rows=4)).encode())
    return Job(ID, JobRecord(stage, 4, spec if stage == OPEN else None), 1, 10_000)


def _machine() -> Machine:
    return Machine("i-000000", 0, "big", "a", False, "10.1.0.1:9000")


def _heartbeat(epoch: int, seq: int, *listed: tuple[str, int]) -> AgentHeartbeat:
    tasks = [TaskStatus(key, attempt, RUNNING) for key, attempt in listed]
    return AgentHeartbeat("i-000000", epoch, seq, tasks=tasks)


@pytest.mark.parametrize(
    ("observed", "start_seq", "in_command_response", "listed", "missing"),
    [
        (True, 3, False, [], True),  # observed before, and no longer listed
        (True, 3, True, [], True),
        (True, 3, False, [(KEY, 7)], False),
        (True, 3, False, [(KEY, 8)], True),  # another attempt
        (False, 0, False, [], False),  # the start was never sent
        (False, 4, False, [], False),  # the response to this heartbeat carries the start
        (False, 3, False, [], True),  # an earlier response with the start did not arrive
        (False, 3, True, [], False),  # a command response does not show whether the start arrived
    ],
)
def test_missing_placements(
    observed: bool,
    start_seq: int,
    in_command_response: bool,
    listed: list[tuple[str, int]],
    missing: bool,
) -> None:
    machine = _machine()
    placement = Placement(_job(), 0, 7, machine)
    placement.observed, placement.start_heartbeat_seq = observed, start_seq
    machine.placements[KEY] = placement
    heartbeat = _heartbeat(1, 4, *listed)
    listed_tasks = {task.task: task for task in heartbeat.tasks}
    result = missing_placements(
        machine, heartbeat, listed_tasks, in_command_response=in_command_response
    )
    assert result == ([placement] if missing else [])


@pytest.mark.parametrize(
    ("listed", "retained"), [([], False), ([(KEY, 7)], True), ([(KEY, 8)], False)]
)
def test_exits_are_retained_while_listed(listed: list[tuple[str, int]], retained: bool) -> None:
    machine = _machine()
    machine.exits[KEY] = TaskExit(7, "done")
    listed_tasks = {task.task: task for task in _heartbeat(1, 4, *listed).tasks}
    assert retained_exits(machine, listed_tasks) == (machine.exits if retained else {})


@pytest.mark.parametrize(
    ("key", "stage", "adopted"),
    [
        (f"{ID}/3", OPEN, True),
        (f"{ID}/4", OPEN, False),  # the job has four tasks
        (f"{ID}/x", OPEN, False),
        ("wk-000002/0", OPEN, False),  # unknown job: the replica may lag
        (f"{ID}/3", CANCELLED, False),
    ],
)
def test_only_tasks_of_open_jobs_are_adopted(key: str, stage: str, adopted: bool) -> None:
    status = TaskStatus(key, 7, RUNNING)
    placement = adopted_placement({ID: _job(stage)}, _machine(), key, status)
    assert (placement is not None) == adopted
    assert placement is None or (placement.key, placement.attempt) == (key, 7)


@pytest.mark.parametrize(
    ("awaited", "heartbeat", "renewed_at", "count_before", "count_after"),
    [
        ([Command(START, KEY, 7)], _heartbeat(1, 5, (KEY, 7)), 99.0, 1, 0),
        ([Command(START, KEY, 7)], _heartbeat(1, 5), 99.0, 1, 2),
        ([Command(ACKNOWLEDGE, KEY, 7)], _heartbeat(1, 5), 99.0, 1, 0),
        ([Command(ACKNOWLEDGE, KEY, 7)], _heartbeat(1, 5, (KEY, 7)), 99.0, 0, 1),
        ([], _heartbeat(1, 5), 99.0, 1, 1),  # without commands there is no effect to check
        ([Command(START, KEY, 7)], _heartbeat(1, 4), 99.0, 1, 1),  # an old heartbeat
        ([], _heartbeat(2, 0), 99.0, 0, 2),  # the lease expired although it was renewed
        ([], _heartbeat(2, 0), 80.0, 1, 0),  # the lease expired without a response
    ],
)
def test_response_without_effect_is_counted(
    awaited: list[Command],
    heartbeat: AgentHeartbeat,
    renewed_at: float,
    count_before: int,
    count_after: int,
) -> None:
    machine = _machine()
    machine.epoch, machine.seq, machine.confirmed = 1, 4, True
    machine.awaited_commands, machine.lease_renewed_at = list(awaited), renewed_at
    machine.ineffective_responses = count_before
    check_last_response(machine, heartbeat, LEASE_S)
    assert machine.ineffective_responses == count_after
