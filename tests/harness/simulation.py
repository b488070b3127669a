"""A simulated cluster: three controllers against the stand-ins, on trio's mock clock."""

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
DEPLOYMENT_TIMES = {  # the two real deployments
    "brda": AgentTimes(
        report_s=2.5, lease_s=15.25, gang_wait_s=40.0, gang_peer_s=6.0, cancel_s=40.25
    ),
    "wongsakul": AgentTimes(
        report_s=3.0, lease_s=20.0, gang_wait_s=40.0, gang_peer_s=6.0, cancel_s=40.0
    ),
}
SESSION_TTL_S = TIMES.lease_s / 4  # of a controller's session lease in the state store
PROBES = 3  # at each node, after each change that a user sees
PROBE_PAUSE_S = 0.004
ATTEMPTS = 120  # of a user, one a second
TYPES: dict[str, dict[str, Any]] = {
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


def job(number: int, **more: object) -> dict[str, Any]:
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
        **more,
    }


def submission(spec: dict[str, Any]) -> dict[str, Any]:
    """Return what a user submits of a job: how its tasks really run is known to agents only."""
    return {k: v for k, v in spec.items() if not k.startswith("real") and k != "broken"}


class Simulation:
    """A cluster, what surrounds it, and the users who call it.

    `run` makes one and passes it to a test; faults are brought about in `network`,
    `state_store` and `world`, and `invariants` judges every answer that users get.
    """

    def __init__(
        self, seed: int, times: AgentTimes = TIMES, teams: list[Team] | None = None
    ) -> None:
        self.times = times
        self.teams = TEAMS if teams is None else teams
        self.state_limits = STATE_LIMITS  # in force from each start on, as the policy
        self.policy_text = ""  # what operators set, in force from each start on
        self.network = Network(seed)
        self.state_store = StateStore()
        controllers = [
            ControllerAddress(name, (f"10.0.0.{i}", 8080)) for i, name in enumerate(NODES)
        ]
        self.world = World(
            self.network,
            controllers,
            TYPES,
            times,
            seed=seed,
        )
        self.world.rules.limits = {team.name: team.cpus_max for team in self.teams}
        self.network.hosts[("10.2.0.1", 2379)] = ("state", self.state_store.handle)
        self.network.hosts[("10.2.0.2", 8443)] = ("cloud", self.world.handle)
        self.scopes: dict[str, trio.CancelScope] = {}
        self.controllers: dict[str, Any] = {}  # a Controller, or an earlier version's
        self.nursery: trio.Nursery
        self.invariants = InvariantChecker(self.world.rules)
        self.final_stages = self.invariants.final_stages
        self.earlier: EarlierVersion | None = None  # an earlier version, if a test uses one
        self.earlier_nodes: set[str] = set()  # nodes that start with it
        self.probes_changes = False  # users ask at all nodes at once after each change they see
        self._probed: set[tuple[str, str]] = set()

    async def _node(self, name: str) -> None:
        CURRENT_HOST.set(name)
        with trio.CancelScope() as scope:
            self.scopes[name] = scope
            config = settings(name, self.times, self.teams, self.state_limits)
            controller: Any
            if name in self.earlier_nodes and self.earlier is not None:
                controller = with_present_names(self.earlier.controller(config, self.policy_text))
            else:
                controller = Controller(config, policy.parse(self.policy_text, config))
            self.controllers[name] = controller
            await controller.run()

    def start(self, *names: str) -> None:
        for name in names or NODES:
            # No one listens at its addresses until the new process does.
            for address in [a for a, (n, _) in self.network.hosts.items() if n == name]:
                del self.network.hosts[address]
            self.network.crashed.discard(name)
            self.nursery.start_soon(self._node, name)

    def kill(self, *names: str) -> None:
        for name in names or NODES:
            self.network.crashed.add(name)
            self.scopes[name].cancel()

    async def call(self, node: int, method: str, path: str, body: object = None) -> Response:
        data = json.dumps(body).encode() if body is not None else b""
        return await self.network.call((f"10.0.0.{node}", 8080), method, path, data, timeout=5.0)

    async def ask(
        self,
        node: int,
        method: str,
        path: str,
        body: object = None,
        *,
        about: str,
        repeat: bool = False,
    ) -> tuple[int, str]:
        """Send a user's request and have its answer checked; return status (0: none) and stage."""
        asked = trio.current_time()
        try:
            answer = await self.call(node, method, path, body)
        except HttpError:
            return 0, ""
        stage = ""
        if answer.status in (200, 201):
            stage = json.loads(answer.body)["stage"]
        self.invariants.observe(
            asked, trio.current_time(), about, answer.status, stage, repeat=repeat
        )
        if self.probes_changes and stage:
            self._probe_change(about, stage)
        return answer.status, stage

    def _probe_change(self, id: str, stage: str) -> None:
        """Ask at all nodes again and again, and repeat the submission, when a stage is new.

        All within milliseconds of the first answer with that stage; none may give an older one.
        """
        if (id, stage) in self._probed:
            return
        self._probed.add((id, stage))
        spec = self.world.rules.specs[id]
        for turn in range(PROBES):
            for node in range(len(NODES)):
                self.nursery.start_soon(self._poll_after, turn * PROBE_PAUSE_S, id, node)
        for node in range(len(NODES)):
            self.nursery.start_soon(self._repeat_at, node, spec)

    async def _poll_after(self, seconds: float, id: str, node: int) -> None:
        await trio.sleep(seconds)
        await self.poll(id, node)

    async def _repeat_at(self, node: int, spec: dict[str, Any]) -> None:
        about = spec["ref"]
        await self.ask(node, "POST", "/api/jobs", submission(spec), about=about, repeat=True)

    async def submit(self, spec: dict[str, Any]) -> None:
        """Submit a job as users do: again and again, at any node, until it is accepted."""
        self.world.rules.specs[spec["ref"]] = spec
        for turn in range(ATTEMPTS):
            status, _ = await self.ask(
                turn % 3, "POST", "/api/jobs", submission(spec), about=spec["ref"]
            )
            if status in (200, 201):
                return
            await trio.sleep(1.0)
        raise AssertionError(f"not accepted: {spec['ref']}")

    async def cancel(self, id: str, first: int = 0) -> None:
        self.invariants.cancel_requested.add(id)
        for turn in range(first, first + ATTEMPTS):
            status, _ = await self.ask(turn % 3, "POST", f"/api/jobs/{id}/cancel", about=id)
            if status == 200:
                return
            await trio.sleep(1.0)
        raise AssertionError(f"not cancelled: {id}")

    async def poll(self, id: str, node: int) -> str | None:
        status, stage = await self.ask(node, "GET", f"/api/jobs/{id}", about=id)
        return stage if status == 200 else None

    async def wait_until_known(self, ids: list[str], within: float) -> None:
        """Poll until every node answers for every job, as they must without faults."""
        end = trio.current_time() + within
        missing = {(id, node) for id in ids for node in range(len(NODES))}
        while missing and trio.current_time() < end:
            for id, node in sorted(missing):
                if await self.poll(id, node) is not None:
                    missing.discard((id, node))
            await trio.sleep(0.5)
        assert not missing, f"no answer for {sorted(missing)}"

    async def finish(self, ids: list[str], limit: float = 240.0) -> None:
        """Poll until every job is over; then check that it stays so at every node."""
        end = trio.current_time() + limit
        turn = 0
        while trio.current_time() < end:
            turn += 1
            states = [await self.poll(id, turn % 3) for id in ids]
            if all(s in ("done", "withdrawn") for s in states):
                break
            await trio.sleep(1.0)
        else:
            raise AssertionError(f"still open: {[i for i in ids if i not in self.final_stages]}")
        for node in range(3):
            for id in ids:
                await self.poll(id, node)
        self.check()

    def check(self) -> None:
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
    """Run `await body(sim)` on a mock clock, with all controllers and four machines up.

    With an `earlier` version, all nodes start with that.
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
            sim.nursery = sim.network.nursery = sim.world.nursery = nursery
            nursery.start_soon(sim.state_store.run)
            for zone in ("a", "b", "a", "b"):
                sim.world.add("big", zone)
            sim.start()
            await trio.sleep(2.0)
            await body(sim)
            nursery.cancel_scope.cancel()

    schedule_deterministically(monkeypatch, seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)
    return sim
