"""A simulated cluster on trio's mock clock: three controllers and the services around them.

The cloud, the agents, the state store and the network are the ones of `standins`.
"""

from __future__ import annotations

import json
import types
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio
import trio.testing

from pitchtally.api import job_creation
from pitchtally.config import policy
from pitchtally.config.settings import (
    AgentTimes,
    CloudLimits,
    Deployment,
    Endpoints,
    Member,
    Settings,
    StateLimits,
    Team,
)
from pitchtally.controller import Controller
from pitchtally.http import HttpError, Response
from pitchtally.scheduling.shards import deadlines
from standins.cloud import ControllerAddress, World
from standins.network import CURRENT_HOST, Network
from standins.state_store import StateStore

from .deterministic_trio import schedule_deterministically
from .earlier_version import EarlierVersion, with_present_names
from .invariants import InvariantChecker

NODES = ["n0", "n1", "n2"]
TIMES = AgentTimes(report_s=1.0, lease_s=10.0, gang_wait_s=12.0, gang_peer_s=3.0, cancel_s=25.0)
# The agent times of the two production deployments.
DEPLOYMENT_TIMES = {
    "brda": AgentTimes(
        report_s=2.5, lease_s=15.25, gang_wait_s=40.0, gang_peer_s=6.0, cancel_s=40.25
    ),
    "wongsakul": AgentTimes(
        report_s=3.0, lease_s=20.0, gang_wait_s=40.0, gang_peer_s=6.0, cancel_s=40.0
    ),
}
# TTL of a controller's session lease in the state store.
SESSION_TTL_S = TIMES.lease_s / 4
# Status requests sent to each node after a user receives a stage for the first time.
PROBES_PER_NODE = 3
PROBE_PAUSE_S = 0.004
# Requests that a user sends, one a second, before a submission or cancellation fails the test.
MAX_ATTEMPTS = 120
MACHINE_TYPES: dict[str, dict[str, Any]] = {
    "big": {
        "vcpus": 8.0,
        "memGb": 32.0,
        "cards": 0.0,
        "rate": 1.0,
        "spotPrice": 0.3,
        "readyS": 3.0,
        "fetchGbPerS": 1.0,
        "parcels": ["a", "b"],
    },
}


TEAMS = [Team("free"), Team("tight", cpus=4.0, cpus_max=6.0)]


STATE_LIMITS = StateLimits(rps=300, write_rps=100, value_kb=8, txn_ops=16)


def settings(
    node: str,
    times: AgentTimes = TIMES,
    teams: list[Team] | None = None,
    state: StateLimits = STATE_LIMITS,
) -> Settings:
    """Return a node's settings in a deployment of three controllers."""
    return Settings(
        name=node,
        public_addr=f"10.0.0.{NODES.index(node)}:8080",
        peer_bind=f"10.0.0.{NODES.index(node)}:8081",
        endpoints=Endpoints(cloud="10.2.0.2:8443", state="10.2.0.1:2379"),
        zone="a",
        members=[
            Member(name=n, address=f"10.0.0.{NODES.index(n)}:8081") for n in NODES if n != node
        ],
        deployment=Deployment(
            count=3,
            workers=times,
            zones=["a", "b"],
            teams=TEAMS if teams is None else teams,
            state=state,
            cloud=CloudLimits(rps=5, list_lag_s=2),
        ),
    )


def job(number: int, **fields: object) -> dict[str, Any]:
    """Return a job of 6 short tasks, with the given fields added or replaced."""
    return {
        "ref": f"wk-{number:06d}",
        "vintage": "c",
        "crew": "free",
        "cut": "sweep",
        "rank": "standard",
        "rows": 6,
        "vcpus": 2.0,
        "cards": 0.0,
        "memGb": 1.0,
        "cask": "i",
        "pullGb": 0.1,
        "presses": None,
        "parcel": None,
        "oneZone": False,
        "spread": False,
        "gleaning": True,
        "ripenS": 4.0,
        "rackS": 0.0,
        "bottleS": 0.0,
        "harvestS": None,
        "realS": 4.0,
        **fields,
    }


def submission(spec: dict[str, Any]) -> dict[str, Any]:
    """Return a job's fields without those that say how its tasks really run.

    Users don't submit these fields; only the simulated agents read them.
    """
    return {k: v for k, v in spec.items() if not k.startswith("real") and k != "broken"}


class Simulation:
    """A cluster, the services that it depends on, and the users who call it.

    `run` creates one and passes it to a test. Tests inject faults through `network`,
    `state_store` and `cloud`; `invariants` checks every answer that users receive.
    """

    def __init__(
        self, seed: int, times: AgentTimes = TIMES, teams: list[Team] | None = None
    ) -> None:
        self.times = times
        self.teams = TEAMS if teams is None else teams
        # The state store's limits and the operators' policy; a controller reads both at its start.
        self.state_limits = STATE_LIMITS
        self.policy_text = ""
        self.network = Network(seed)
        self.state_store = StateStore()
        controllers = [
            ControllerAddress(name, (f"10.0.0.{i}", 8080)) for i, name in enumerate(NODES)
        ]
        self.cloud = World(
            self.network,
            controllers,
            MACHINE_TYPES,
            times,
            seed=seed,
        )
        self.cloud.rules.limits = {team.name: team.cpus_max for team in self.teams}
        self.network.hosts[("10.2.0.1", 2379)] = ("state", self.state_store.handle)
        self.network.hosts[("10.2.0.2", 8443)] = ("cloud", self.cloud.handle)
        self.cancel_scopes: dict[str, trio.CancelScope] = {}
        self.controllers: dict[str, Any] = {}  # the present version's or `earlier`'s
        self.nursery: trio.Nursery
        self.invariants = InvariantChecker(self.cloud.rules)
        self.final_stages = self.invariants.final_stages
        self.earlier: EarlierVersion | None = None  # set if the test runs an earlier version
        self.earlier_nodes: set[str] = set()  # nodes that run `earlier` from their next start on
        # Whether users request a job's status from all nodes as soon as they receive a new stage.
        self.probes_changes = False
        self._probed_stages: set[tuple[str, str]] = set()

    async def _run_controller(self, name: str) -> None:
        CURRENT_HOST.set(name)
        with trio.CancelScope() as scope:
            self.cancel_scopes[name] = scope
            config = settings(name, self.times, self.teams, self.state_limits)
            controller: Any
            if name in self.earlier_nodes and self.earlier is not None:
                controller = with_present_names(self.earlier.controller(config, self.policy_text))
            else:
                controller = Controller(config, policy.parse(self.policy_text, config))
            self.controllers[name] = controller
            await controller.run()

    def start(self, *names: str) -> None:
        """Start controllers by name, or all of them if no name is given."""
        for name in names or NODES:
            # Connections to the node are refused until its new process listens.
            for address in [a for a, (host, _) in self.network.hosts.items() if host == name]:
                del self.network.hosts[address]
            self.network.crashed.discard(name)
            self.nursery.start_soon(self._run_controller, name)

    def kill(self, *names: str) -> None:
        """Crash controllers by name, or all of them if no name is given."""
        for name in names or NODES:
            self.network.crashed.add(name)
            self.cancel_scopes[name].cancel()

    async def call(self, node: int, method: str, path: str, body: object = None) -> Response:
        """Send a request to a node without checking the answer; raises HttpError."""
        data = json.dumps(body).encode() if body is not None else b""
        return await self.network.call((f"10.0.0.{node}", 8080), method, path, data, timeout=5.0)

    async def send(
        self,
        node: int,
        method: str,
        path: str,
        body: object = None,
        *,
        job_id: str,
        repeat: bool = False,
    ) -> tuple[int, str]:
        """Send a user's request, check the answer, and return its status and stage.

        The status is 0 if no answer arrives; the stage is empty unless the status is 200 or 201.
        """
        asked_at = trio.current_time()
        try:
            answer = await self.call(node, method, path, body)
        except HttpError:
            return 0, ""
        stage = ""
        if answer.status in (200, 201):
            stage = json.loads(answer.body)["stage"]
        self.invariants.observe(
            asked_at, trio.current_time(), job_id, answer.status, stage, repeat=repeat
        )
        if self.probes_changes and stage:
            self._probe_change(job_id, stage)
        return answer.status, stage

    def _probe_change(self, id: str, stage: str) -> None:
        """Poll a job at all nodes, and repeat its submission, if the stage is new to its user.

        The requests follow the first answer with that stage within milliseconds; no node may
        answer with an older stage.
        """
        if (id, stage) in self._probed_stages:
            return
        self._probed_stages.add((id, stage))
        spec = self.cloud.rules.specs[id]
        for probe in range(PROBES_PER_NODE):
            for node in range(len(NODES)):
                self.nursery.start_soon(self._poll_after, probe * PROBE_PAUSE_S, id, node)
        for node in range(len(NODES)):
            self.nursery.start_soon(self._repeat_submission, node, spec)

    async def _poll_after(self, seconds: float, id: str, node: int) -> None:
        await trio.sleep(seconds)
        await self.poll(id, node)

    async def _repeat_submission(self, node: int, spec: dict[str, Any]) -> None:
        job_id = spec["ref"]
        await self.send(node, "POST", "/api/jobs", submission(spec), job_id=job_id, repeat=True)

    async def submit(self, spec: dict[str, Any]) -> None:
        """Submit a job to one node after another until it is accepted."""
        self.cloud.rules.specs[spec["ref"]] = spec
        for attempt in range(MAX_ATTEMPTS):
            status, _ = await self.send(
                attempt % 3, "POST", "/api/jobs", submission(spec), job_id=spec["ref"]
            )
            if status in (200, 201):
                return
            await trio.sleep(1.0)
        raise AssertionError(f"job {spec['ref']} was not accepted in {MAX_ATTEMPTS} attempts")

    async def cancel(self, id: str, first_node: int = 0) -> None:
        """Cancel a job at one node after another, from `first_node` on, until one accepts it."""
        self.invariants.cancel_requested.add(id)
        for attempt in range(first_node, first_node + MAX_ATTEMPTS):
            status, _ = await self.send(attempt % 3, "POST", f"/api/jobs/{id}/cancel", job_id=id)
            if status == 200:
                return
            await trio.sleep(1.0)
        raise AssertionError(f"job {id} was not cancelled in {MAX_ATTEMPTS} attempts")

    async def poll(self, id: str, node: int) -> str | None:
        """Return a job's stage according to a node, or None without a successful answer."""
        status, stage = await self.send(node, "GET", f"/api/jobs/{id}", job_id=id)
        return stage if status == 200 else None

    async def wait_until_known(self, ids: list[str], within: float) -> None:
        """Poll until every node answers for every job, as each must without faults."""
        deadline = trio.current_time() + within
        missing = {(id, node) for id in ids for node in range(len(NODES))}
        while missing and trio.current_time() < deadline:
            for id, node in sorted(missing):
                if await self.poll(id, node) is not None:
                    missing.discard((id, node))
            await trio.sleep(0.5)
        assert not missing, (
            f"jobs that nodes did not answer for within {within} s: {sorted(missing)}"
        )

    async def wait_until_finished(self, ids: list[str], limit: float = 240.0) -> None:
        """Poll until every job is done or withdrawn; then check the answers of every node.

        Raises AssertionError if a job is unfinished after `limit` seconds.
        """
        deadline = trio.current_time() + limit
        round_number = 0
        while trio.current_time() < deadline:
            round_number += 1
            stages = [await self.poll(id, round_number % 3) for id in ids]
            if all(stage in ("done", "withdrawn") for stage in stages):
                break
            await trio.sleep(1.0)
        else:
            raise AssertionError(
                f"unfinished after {limit} s: {[id for id in ids if id not in self.final_stages]}"
            )
        for node in range(3):
            for id in ids:
                await self.poll(id, node)
        self.check()

    def check(self) -> None:
        """Fail if an invariant has been violated so far."""
        self.invariants.check()


def run(
    monkeypatch: pytest.MonkeyPatch,
    body: Callable[[Simulation], Awaitable[None]],
    seed: int = 1,
    times: AgentTimes = TIMES,
    teams: list[Team] | None = None,
    earlier: EarlierVersion | None = None,
    state: StateLimits = STATE_LIMITS,
) -> Simulation:
    """Run `await body(sim)` on a mock clock, with all controllers and four machines running.

    If an `earlier` version is given, all nodes start with it.
    """
    sim = Simulation(seed, times, teams)
    sim.state_limits = state
    sim.earlier = earlier
    sim.earlier_nodes = set(NODES) if earlier is not None else set()

    async def main() -> None:
        sim.network.install(monkeypatch)
        clock = types.SimpleNamespace(time=trio.current_time)
        monkeypatch.setattr(deadlines, "time", clock)
        monkeypatch.setattr(job_creation, "time", clock)
        if earlier is not None:
            earlier.install(monkeypatch, sim.network, clock)
        async with trio.open_nursery() as nursery:
            sim.nursery = sim.network.nursery = sim.cloud.nursery = nursery
            nursery.start_soon(sim.state_store.run)
            for zone in ("a", "b", "a", "b"):
                sim.cloud.add("big", zone)
            sim.start()
            await trio.sleep(2.0)
            await body(sim)
            nursery.cancel_scope.cancel()

    schedule_deterministically(monkeypatch, seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)
    return sim
