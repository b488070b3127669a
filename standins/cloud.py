"""The cloud that launches machines, and the world of agents and jobs round the controllers."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any, NamedTuple

import trio

from pitchtally.config.settings import AgentTimes
from pitchtally.http import Address, Request, Response

from .agent import Agent
from .machine_tasks import RUNNING, WAITING
from .network import Network
from .rules import Rules, job_of

AGENT_PORT_BASE = 9000
LISTED_AGE_S = 60.0  # the age that the list gives for every machine


class ControllerAddress(NamedTuple):
    """Where a controller serves users and agents."""

    name: str
    address: Address


class World:
    """Machines by name, launched and terminated by the controllers' requests.

    `times` are those of the deployment. Tests set `capacity`, `list_lag_s` and `down` at any
    time.
    """

    def __init__(
        self,
        network: Network,
        controllers: list[ControllerAddress],
        types: dict[str, dict[str, Any]],
        times: AgentTimes,
        *,
        capacity: int = 6,
        seed: int = 1,
    ) -> None:
        self.network = network
        self.controllers = controllers
        self.types = types
        self.times = times
        self.rules = Rules(times.cancel_s)
        self.random = random.Random(seed)
        self.agents: dict[str, Agent] = {}
        self._machines_by_request: dict[
            str, list[str]
        ] = {}  # machines by request id, for repeated requests
        self.terminated: list[str] = []
        self.capacity = capacity  # machines at once
        self.list_lag_s = 0.0  # age at which a machine appears in the list
        self._launched = 0
        self.down = False
        self.nursery: trio.Nursery | None = None
        self.host = "10.1.0.1"
        self.listen: Callable[[Agent, int], object] | None = None  # over real sockets

    def active_gang_tasks(self, job: str, attempt: int) -> list[str]:
        """Return a job's tasks of one attempt that wait or run."""
        return [
            name
            for agent in self.agents.values()
            for name, task in agent.tasks.items()
            if job_of(name) == job and task.attempt == attempt and task.state in (WAITING, RUNNING)
        ]

    def add(self, type_: str, zone: str, spot: bool = False) -> Agent:
        """Launch a machine, which is up at once."""
        self._launched += 1
        name, port = f"i-{self._launched:06d}", AGENT_PORT_BASE + self._launched
        agent = Agent(self, name, type_, zone, spot, port)
        self.agents[name] = agent
        self.network.hosts[(self.host, port)] = (name, agent.handle)
        if self.listen is not None:
            self.listen(agent, port)
        assert self.nursery is not None
        self.nursery.start_soon(agent.run)
        return agent

    async def handle(self, request: Request) -> Response:
        """Answer a controller's request to the cloud."""
        if self.down:
            return Response(503, b'{"error":"trouble"}')
        if request.path == "/flavors":
            found = [{"sku": name, **row} for name, row in self.types.items()]
            return _json_response({"presses": found})
        if request.path == "/machines/release":
            return self._terminate(json.loads(request.body)["vats"])
        if request.method == "POST":
            return self._launch(json.loads(request.body))
        return self._list()

    def _terminate(self, names: list[str]) -> Response:
        for name in names:
            agent = self.agents.pop(name, None)
            if agent is not None:
                self.terminated.append(name)
                agent.terminate()
        return _json_response({})

    def _launch(self, body: dict[str, Any]) -> Response:
        earlier = self._machines_by_request.get(body["hire"])
        if earlier is not None:
            return _json_response({"vats": earlier})
        available = self.capacity - len(self.agents)
        if available <= 0:
            return Response(503, b'{"error":"no capacity"}')
        names = [
            self.add(body["press"], body["parcel"], body["gleaning"]).name
            for _ in range(min(available, body["howMany"]))
        ]
        self._machines_by_request[body["hire"]] = names
        return _json_response({"vats": names})

    def _list(self) -> Response:
        newest = trio.current_time() - self.list_lag_s
        rows = [
            {
                "ref": agent.name,
                "address": agent.address,
                "press": agent.type,
                "parcel": agent.zone,
                "gleaning": agent.spot,
                "stage": "running",
                "ageS": LISTED_AGE_S,
            }
            for agent in self.agents.values()
            if agent.launched_at <= newest or not self.list_lag_s
        ]
        return _json_response({"vats": rows, "truncated": False})


def _json_response(body: dict[str, Any]) -> Response:
    return Response(200, json.dumps(body).encode())
