"""Writes of the machine record while machines are added and removed."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest
import trio
import trio.testing

from pitchtally.agents.led_shard import LedShard
from pitchtally.agents.machine import Machine
from pitchtally.config import policy
from pitchtally.controller import Controller
from pitchtally.http import Response
from pitchtally.membership.shards import ShardLeader, ShardLease
from pitchtally.protocol import cloud_api
from pitchtally.state_store.rate_limits import Priority

from ..harness.http_stub import Call, answer_calls
from ..harness.simulation import settings
from ..harness.single_controller import (
    heartbeat_request,
    leader_of_shard,
)

SHARD, TOKEN = 0, 50
TYPE = cloud_api.MachineType("big", cpus=8.0, memory=32.0, zones=["a"])


class StoreStub:
    """A state store that accepts every commit, and calls `during_commit` before it responds."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch):
        self.written: dict[str, Any] = {}
        self.during_commit: Callable[[], None] = lambda: None
        answer_calls(monkeypatch, self._commit)

    async def _commit(self, call: Call) -> Response:
        await trio.sleep(0.005)
        for write in json.loads(call.body)["writes"]:
            self.written[write["write"]] = write["v"]
        self.during_commit()
        return Response(200, b'{"ledger":60}')


class LeaderWithTwoChunks:
    """The leader of shard 0, with one machine in each of two chunks of the record."""

    def __init__(self) -> None:
        config = settings("n0")
        self.controller = controller = Controller(config, policy.parse("", config))
        controller.autoscaler.catalog.types_by_name = {"big": TYPE}
        controller.replica.revision = TOKEN
        controller.membership.leadership.leaders[SHARD] = ShardLease(
            ShardLeader("n0", controller.membership.incarnation),
            TOKEN,
        )
        controller.membership.leadership.announce(SHARD)
        self.agents = controller.agents
        self.agents.recovery.load(self.led_shard)
        span = controller.agents.records.chunk_width * controller.agents.index.shard_count
        self.first = self._add(0)
        self.second = self._add(span)

    @property
    def led_shard(self) -> LedShard:
        return self.agents.shards[SHARD]

    def _add(self, number: int) -> Machine:
        machine = self.agents.index.add(f"i-{number:06d}", "big", "a", False, "10.1.0.1:9000")
        machine.confirmed = True
        return machine

    async def write(self) -> None:
        await self.agents.records.write(self.led_shard)

    def chunk(self, machine: Machine) -> int:
        return self.agents.records.chunk_of(machine.name)


def _run(monkeypatch: pytest.MonkeyPatch, scenario: Any) -> None:
    async def main() -> None:
        await scenario(LeaderWithTwoChunks(), StoreStub(monkeypatch))

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_machine_released_while_an_earlier_chunk_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A machine may be removed during the write of an earlier chunk.

    The entries of all chunks were once collected before the first write, which raised KeyError.
    """

    async def scenario(leader: LeaderWithTwoChunks, state_store: StoreStub) -> None:
        await leader.write()
        assert leader.chunk(leader.first) != leader.chunk(leader.second)
        leader.first.address = "10.1.0.1:9001"  # changes the first chunk
        state_store.during_commit = lambda: leader.agents.machine_terminated(leader.second.name)
        await leader.write()
        await leader.write()
        assert state_store.written[f"pt/fleet/0/{leader.chunk(leader.second)}"] == {}

    _run(monkeypatch, scenario)


def test_entry_of_a_released_machine_is_not_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """A changed chunk must not be written with machines removed during an earlier write."""

    async def scenario(leader: LeaderWithTwoChunks, state_store: StoreStub) -> None:
        state_store.during_commit = lambda: leader.agents.machine_terminated(leader.second.name)
        await leader.write()
        assert leader.second.name not in state_store.written.get(
            f"pt/fleet/0/{leader.chunk(leader.second)}", {}
        )

    _run(monkeypatch, scenario)


def test_shard_lost_while_its_record_is_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """After the loss of a shard, the rest of its record is left to the next leader."""

    async def scenario(leader: LeaderWithTwoChunks, state_store: StoreStub) -> None:
        await leader.write()
        leader.first.address = "10.1.0.1:9001"
        second = f"pt/fleet/0/{leader.chunk(leader.second)}"
        state_store.during_commit = lambda: leader.agents.shard_lost(SHARD)
        state_store.written.pop(second)
        await leader.write()
        assert second not in state_store.written

    _run(monkeypatch, scenario)


def test_machine_is_recorded_only_once_its_entry_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Tasks start only on recorded machines, which a later leader finds."""

    async def scenario(leader: LeaderWithTwoChunks, state_store: StoreStub) -> None:
        assert not leader.first.recorded
        await leader.write()
        assert leader.first.recorded
        assert leader.second.recorded
        leader.first.recorded = False
        await leader.write()  # the record already contains it
        assert leader.first.recorded

    _run(monkeypatch, scenario)


def test_record_of_a_shard_takes_few_writes() -> None:
    """Recording 310 machines takes few writes, with priority over progress: tasks wait for them."""

    async def main() -> None:
        leader, written = leader_of_shard(0, 50), []

        async def commit(preconditions: Any, changes: Any, *, priority: int) -> bool:
            assert priority < Priority.SUBMISSIONS
            assert all(len(write.value) <= 8192 for write in changes)
            written.extend(changes)
            return True

        leader.commits.commit = commit  # type: ignore[method-assign]
        for number in range(0, 930, 3):
            await leader.agents.serve(heartbeat_request(number, 1, 50, []))
        await leader.agents.records.write(leader.agents.shards[0])
        assert len(written) <= 8
        assert all(machine.recorded for machine in leader.agents.machines.values())

    trio.run(main, clock=trio.testing.MockClock())
