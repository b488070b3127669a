"""A single shard leader without its background loops, and the agents' requests to it."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import pytest
import trio
import trio.testing

from pitchtally.api.validation import parse_job
from pitchtally.config import policy
from pitchtally.controller import Controller
from pitchtally.http import Request
from pitchtally.membership.shards import ShardLeader, ShardLease
from pitchtally.protocol import cloud_api, user_api

from .simulation import job, settings

NOTHING_STORED: Mapping[str, bytes] = MappingProxyType({})

MACHINE_TYPE = cloud_api.MachineType("big", cpus=64.0, memory=256.0, zones=["a", "b"])


def leader_of_shard(
    shard: int, token: int, stored: Mapping[str, bytes] = NOTHING_STORED
) -> Controller:
    """Return a controller that leads a shard, with none of its background loops running.

    `stored`: values that the state store held before the failover, by key.
    """
    config = settings("n0")
    controller = Controller(config, policy.parse("", config))
    controller.autoscaler.catalog.types_by_name = {"big": MACHINE_TYPE}
    for version, (key, value) in enumerate(stored.items(), 1):
        controller.replica.apply_committed(key, value, version)
    controller.replica.revision = token
    controller.replica.verified_at = trio.current_time()
    leader = ShardLeader("n0", controller.membership.incarnation)
    controller.membership.leadership.leaders[shard] = ShardLease(leader, token)
    controller.membership.leadership.announce(shard)
    controller.agents.recovery.load(controller.agents.shards[shard])
    return controller


def heartbeat_request(
    number: int, sequence: int, token: int, tasks: list[dict[str, Any]], type: str = "big"
) -> Request:
    """Return the request that carries an agent's heartbeat."""
    body = {
        "vat": f"i-{number:06d}",
        "address": "10.1.0.1:9000",
        "press": type,
        "parcel": "a",
        "gleaning": False,
        "shift": 1,
        "tally": sequence,
        "seal": token,
        "recallS": None,
        "rows": tasks,
    }
    return Request("POST", "/v1/report", {}, json.dumps(body).encode())


def count_calls(coroutine: Any) -> int:
    """Count the Python function calls of a coroutine, which must finish without waiting."""
    count = 0

    def count_call(frame: Any, event: str, arg: Any) -> None:
        nonlocal count
        count += event == "call"

    sys.setprofile(count_call)
    try:
        with pytest.raises(StopIteration):
            coroutine.send(None)
    finally:
        sys.setprofile(None)
    return count


def count_instructions(coroutine: Any) -> int:
    """Count the bytecode instructions of a coroutine, which must finish without waiting.

    Unlike calls, instructions also count the rounds of loops that call nothing.
    """
    count = 0

    def trace(frame: Any, event: str, arg: Any) -> Any:
        nonlocal count
        frame.f_trace_lines = False
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    sys.settrace(trace)
    try:
        with pytest.raises(StopIteration):
            coroutine.send(None)
    finally:
        sys.settrace(None)
    return count


def job_spec(number: int, cpus: float) -> user_api.JobSpec:
    """Return the specification of a job array of 50 tasks."""
    return parse_job(json.dumps(job(number, rows=50, vcpus=cpus)).encode())
