"""Tests of launches and terminations: which requests are sent to the cloud, and when."""

from __future__ import annotations

import itertools
import json
from typing import Any

import pytest
import trio

from pitchtally.autoscaling.cloud_client import CloudClient, CloudUnavailable
from pitchtally.autoscaling.inventory import MachineInventory
from pitchtally.autoscaling.machine_health import HeartbeatTimeouts
from pitchtally.autoscaling.scale_in import ScaleIn
from pitchtally.autoscaling.scale_out import FIRST_BACKOFF_S, BootingMachine, ScaleOut
from pitchtally.autoscaling.scheduler_view import SchedulerView
from pitchtally.autoscaling.terminations import TerminationCause, Terminations
from pitchtally.config import policy
from pitchtally.http import HttpError, Response
from pitchtally.jobs.index import Job
from pitchtally.membership.messages import MachineFlag

from ..harness.http_stub import Call, answer_calls
from ..harness.simulation import settings
from .cluster_views import BIG, SMALL, config, machine, on_mock_clock, open_job, shard, view

FENCING_TOKEN = 50


class Cloud:
    """A stub of the cloud API: sends the configured response and records every request."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch):
        self.requests: list[tuple[str, dict[str, Any]]] = []
        self.status = 200
        self.body: dict[str, Any] = {"vats": []}
        self.error = ""
        answer_calls(monkeypatch, self.answer)

    async def answer(self, call: Call) -> Response:
        self.requests.append((call.target, json.loads(call.body or b"{}")))
        if self.error:
            raise HttpError(self.error)
        return Response(self.status, json.dumps(self.body).encode())

    def client(self) -> CloudClient:
        node_settings = settings("n0")
        return CloudClient(node_settings, policy.parse("", node_settings))


def scale_out(cloud: Cloud, scheduler: SchedulerView, jobs: dict[str, Job]) -> ScaleOut:
    booting: dict[str, BootingMachine] = {}
    types = {"big": BIG, "small": SMALL}
    return ScaleOut(cloud.client(), lambda: types, jobs, scheduler, booting, 0.5)


def test_cheapest_machines_are_launched_and_count_as_booting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body() -> None:
        cloud = Cloud(monkeypatch)
        cloud.body = {"vats": ["i-1", "i-2"]}
        scaling = scale_out(cloud, view({}), {"wk-000001": open_job(1)})
        await scaling.run_round(FENCING_TOKEN, lambda: True)
        # 24 task-seconds within half of 10 s of slack need 4.8 concurrent tasks; a machine runs 4.
        assert cloud.requests == [
            (
                "/machines",
                {
                    "hire": "h-50-1",
                    "press": "big",
                    "parcel": "a",
                    "gleaning": True,
                    "howMany": 2,
                },
            )
        ]

    on_mock_clock(body)


def test_launch_without_a_response_is_retried_under_the_same_name(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body() -> None:
        cloud = Cloud(monkeypatch)
        cloud.error = "reset"
        scaling = scale_out(cloud, view({}), {"wk-000001": open_job(1)})
        for _ in range(2):
            with pytest.raises(CloudUnavailable):
                await scaling.run_round(FENCING_TOKEN, lambda: True)
        assert [request["hire"] for _, request in cloud.requests] == ["h-50-1", "h-50-1"]
        scaling.reset()
        with pytest.raises(CloudUnavailable):
            await scaling.run_round(FENCING_TOKEN + 1, lambda: True)
        assert cloud.requests[-1][1]["hire"] == "h-51-2"

    on_mock_clock(body)


def test_backoff_doubles_after_each_refusal_of_a_group(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body() -> None:
        cloud = Cloud(monkeypatch)
        cloud.status, cloud.body = 503, {"error": "no capacity"}
        jobs = {"wk-000001": open_job(1, presses=["small"])}
        scaling = scale_out(cloud, view({}), jobs)
        requested_at = []
        for _ in range(100):
            request_count = len(cloud.requests)
            await scaling.run_round(FENCING_TOKEN, lambda: True)
            if len(cloud.requests) > request_count:
                requested_at.append(trio.current_time())
            await trio.sleep(1.0)
        pauses = [later - earlier for earlier, later in itertools.pairwise(requested_at)]
        assert pauses == [FIRST_BACKOFF_S * 2, FIRST_BACKOFF_S * 4, FIRST_BACKOFF_S * 8]

    on_mock_clock(body)


def test_no_requests_without_verified_leadership(monkeypatch: pytest.MonkeyPatch) -> None:
    async def body() -> None:
        cloud = Cloud(monkeypatch)
        await scale_out(cloud, view({}), {"wk-000001": open_job(1)}).run_round(
            FENCING_TOKEN, lambda: False
        )
        terminations = Terminations(cloud.client(), lambda name: None)
        terminations.request("i-1", TerminationCause.FAILED)
        await terminations.flush(lambda: False)
        assert not cloud.requests
        assert not terminations.is_terminated("i-1")

    on_mock_clock(body)


def test_machine_is_terminated_only_after_the_cloud_has_responded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body() -> None:
        cloud = Cloud(monkeypatch)
        confirmed: list[str] = []
        terminations = Terminations(cloud.client(), confirmed.append)
        terminations.request("i-1", TerminationCause.FAILED)
        cloud.error = "reset"
        with pytest.raises(CloudUnavailable):
            await terminations.flush(lambda: True)
        assert not confirmed
        cloud.error = ""
        await terminations.flush(lambda: True)
        assert confirmed == ["i-1"]
        assert terminations.recent() == ["i-1"]
        await trio.sleep(121)
        assert terminations.recent() == []

    on_mock_clock(body)


def test_machine_missing_from_one_list_is_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    """Machine lists may be served out of order, so a single list may lack a machine."""

    async def body() -> None:
        cloud = Cloud(monkeypatch)
        entry = {"ref": "i-1", "press": "big", "parcel": "a", "stage": "running"}
        cloud.body = {"vats": [entry]}
        inventory = MachineInventory(cloud.client(), 1.0, 2.0)
        await inventory.refresh()
        cloud.body = {"vats": []}
        for _ in range(4):
            await trio.sleep(1.0)
            await inventory.refresh()
            assert "i-1" in inventory.machines
        await trio.sleep(1.5)
        await inventory.refresh()  # missing for 4.5 s, since the first of these reads
        assert not inventory.machines

    on_mock_clock(body)


def test_idle_machine_is_drained_before_it_is_terminated(monkeypatch: pytest.MonkeyPatch) -> None:
    async def body() -> None:
        idle = {"i-1": machine("i-1", idle_for=1e6), "i-2": machine("i-2")}
        drained = {"i-1": machine("i-1", MachineFlag.DRAINING), "i-2": machine("i-2")}
        scheduler = view({0: shard(idle.values())})
        cloud = Cloud(monkeypatch)
        terminations = Terminations(cloud.client(), lambda name: None)
        scale_in = ScaleIn(config(), lambda: {"big": BIG}, {}, scheduler, terminations)
        scale_in.check(idle, 0.0)
        assert list(scale_in.draining) == ["i-1"]
        await terminations.flush(lambda: True)
        assert not cloud.requests
        scale_in.check(drained, 1.0)
        await terminations.flush(lambda: True)
        assert cloud.requests == [("/machines/release", {"vats": ["i-1"]})]

    on_mock_clock(body)


def test_idle_machine_is_kept_while_a_queued_job_may_use_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body() -> None:
        idle = {"i-1": machine("i-1", idle_for=1e6)}
        scheduler = view({0: shard(idle.values(), wk_000001=1)})
        jobs = {"wk-000001": open_job(1)}
        terminations = Terminations(Cloud(monkeypatch).client(), lambda name: None)
        scale_in = ScaleIn(config(), lambda: {"big": BIG}, jobs, scheduler, terminations)
        scale_in.check(idle, 0.0)
        assert not scale_in.draining

    on_mock_clock(body)


def test_process_pause_resets_heartbeat_timeouts() -> None:
    async def body() -> None:
        resumed_at = -1.0
        status = shard([machine("i-0", MachineFlag.LOST)])
        timeouts = HeartbeatTimeouts(config(), view({0: status}), lambda: resumed_at)
        with trio.move_on_after(10):
            await timeouts.run()
        before_pause = timeouts.unreachable_for("i-0", trio.current_time())
        assert before_pause is not None
        assert before_pause > 5
        resumed_at = trio.current_time() + 0.001
        with trio.move_on_after(config().heartbeat_interval * 1.5):
            await timeouts.run()
        after_pause = timeouts.unreachable_for("i-0", trio.current_time())
        assert after_pause is not None
        assert after_pause < 5

    on_mock_clock(body)
