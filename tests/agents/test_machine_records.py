"""The record of machines, while machines come and go during its writes."""

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
    """Commits everything; before each answer it lets the test change the world."""

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


class RecordsUnderTest:
    """The leader of shard 0 whose machines' names fall into two chunks of its record."""

    def __init__(self) -> None:
        config = settings("n0")
        self.controller = controller = Controller(config, policy.parse("", config))
        controller.autoscaler.catalog.known = {"big": TYPE}
        controller.replica.revision = TOKEN
        controller.membership.leadership.leaders[SHARD] = ShardLease(
            ShardLeader("n0", controller.membership.incarnation),
            TOKEN,
        )
        controller.membership.leadership.announce(SHARD)
        self.agents = controller.agents
        self.agents.recovery.load(self.led_shard)
        span = controller.agents.records.span * controller.agents.index.shard_count
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


def _play(monkeypatch: pytest.MonkeyPatch, body: Any) -> None:
    async def main() -> None:
        await body(RecordsUnderTest(), StoreStub(monkeypatch))

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_machine_released_while_an_earlier_chunk_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """KeyError: rows were gathered once, and machines went while chunks before were written."""

    async def body(leader: RecordsUnderTest, state_store: StoreStub) -> None:
        await leader.write()
        assert leader.chunk(leader.first) != leader.chunk(leader.second)
        leader.first.address = "10.1.0.1:9001"  # its chunk is written anew
        state_store.during_commit = lambda: leader.agents.machine_terminated(leader.second.name)
        await leader.write()
        await leader.write()
        assert state_store.written[f"pt/fleet/0/{leader.chunk(leader.second)}"] == {}

    _play(monkeypatch, body)


def test_row_of_a_released_machine_is_not_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """A chunk that changes was written with what had been there before the wait."""

    async def body(leader: RecordsUnderTest, state_store: StoreStub) -> None:
        state_store.during_commit = lambda: leader.agents.machine_terminated(leader.second.name)
        await leader.write()
        assert leader.second.name not in state_store.written.get(
            f"pt/fleet/0/{leader.chunk(leader.second)}", {}
        )

    _play(monkeypatch, body)


def test_shard_lost_while_its_record_is_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its machines are forgotten with it; the rest of the record is the next leader's affair."""

    async def body(leader: RecordsUnderTest, state_store: StoreStub) -> None:
        await leader.write()
        leader.first.address = "10.1.0.1:9001"
        second = f"pt/fleet/0/{leader.chunk(leader.second)}"
        state_store.during_commit = lambda: leader.agents.shard_lost(SHARD)
        state_store.written.pop(second)
        await leader.write()
        assert second not in state_store.written

    _play(monkeypatch, body)


def test_machine_is_recorded_only_once_its_row_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A task may start only where a later leader finds the machine."""

    async def body(leader: RecordsUnderTest, state_store: StoreStub) -> None:
        assert not leader.first.recorded
        await leader.write()
        assert leader.first.recorded
        assert leader.second.recorded
        leader.first.recorded = False
        await leader.write()  # the row stands already
        assert leader.first.recorded

    _play(monkeypatch, body)


def test_record_of_a_shard_takes_few_writes() -> None:
    """310 machines are recorded before their first task: in chunks, before progress writes."""

    async def main() -> None:
        leader, written = leader_of_shard(0, 50), []

        async def commit(preconditions: Any, changes: Any, *, priority: int) -> bool:
            assert priority < Priority.SUBMISSIONS
            assert all(len(c.value) <= 8192 for c in changes)
            written.extend(changes)
            return True

        leader.commits.commit = commit  # type: ignore[method-assign]
        for number in range(0, 930, 3):
            await leader.agents.serve(heartbeat_request(number, 1, 50, []))
        await leader.agents.records.write(leader.agents.shards[0])
        assert len(written) <= 8
        assert all(m.recorded for m in leader.agents.machines.values())

    trio.run(main, clock=trio.testing.MockClock())
