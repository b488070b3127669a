"""The cloud stand-in: launches, lists and terminates machines, each with its agent."""

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

AGENT_PORT_BASE = 9000  # the n-th machine listens at this port plus n
LISTED_AGE_S = 60.0  # age of every machine in the cloud's list


class ControllerAddress(NamedTuple):
    """The name of a controller and the address at which it serves users and agents."""

    name: str
    address: Address


class World:
    """The machines of the cloud with their agents, and the record of what they run.

    `types` holds the machine types of the catalog by name, `times` the agent settings of the
    deployment. Tests may change `capacity`, `list_lag_s` and `down` at any time.
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
        # Names of launched machines by request id, so that a repeated request launches no more.
        self._machines_by_request: dict[str, list[str]] = {}
        self.terminated: list[str] = []
        self.capacity = capacity  # maximum number of machines
        self.list_lag_s = 0.0  # time from launch until a machine is listed
        self._launched = 0
        self.down = False
        self.nursery: trio.Nursery | None = None
        self.host = "10.1.0.1"
        self.listen: Callable[[Agent, int], object] | None = None  # serves on a real socket

    def active_gang_tasks(self, job: str, attempt: int) -> list[str]:
        """Return the waiting and running tasks of one attempt of a gang."""
        return [
            name
            for agent in self.agents.values()
            for name, task in agent.tasks.items()
            if job_of(name) == job and task.attempt == attempt and task.state in (WAITING, RUNNING)
        ]

    def add(self, type_: str, zone: str, spot: bool = False) -> Agent:
        """Launch a machine without delay, regardless of the capacity."""
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
        """Answer a controller's request; status 503 during an outage."""
        if self.down:
            return Response(503, b'{"error":"trouble"}')
        if request.path == "/flavors":
            catalog = [{"sku": name, **machine_type} for name, machine_type in self.types.items()]
            return _json_response({"presses": catalog})
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
        launched = self._machines_by_request.get(body["hire"])
        if launched is not None:
            return _json_response({"vats": launched})
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
        latest_launch = trio.current_time() - self.list_lag_s
        machines = [
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
            if agent.launched_at <= latest_launch or not self.list_lag_s
        ]
        return _json_response({"vats": machines, "truncated": False})


def _json_response(body: dict[str, Any]) -> Response:
    return Response(200, json.dumps(body).encode())
