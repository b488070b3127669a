"""The cloud that rents machines, and the world of agents and jobs around the controllers."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

import trio

from pitchtally.http import Request, Response

from .agent import RUNNING, WAITING, Agent
from .network import Address, Network
from .rules import Rules, job_of

FIRST_PORT = 9000
LISTED_AGE_S = 60.0  # what the list tells of every machine's age


class World:
    """Machines by name, rented and returned by the controllers' requests."""

    def __init__(
        self,
        network: Network,
        nodes: list[tuple[str, Address]],
        types: dict[str, dict[str, Any]],
        *,
        report_s: float,
        lease_s: float,
        cancel_s: float,
        gang_wait_s: float,
        capacity: int = 6,
        seed: int = 1,
    ):
        self.network = network
        self.nodes = nodes
        self.types = types
        self.report_s, self.lease_s, self.gang_wait_s = report_s, lease_s, gang_wait_s
        self.rules = Rules(cancel_s)
        self.random = random.Random(seed)
        self.agents: dict[str, Agent] = {}
        self.answers: dict[str, list[str]] = {}  # hire -> machines, for repeats
        self.released: list[str] = []
        self.capacity = capacity
        self.list_lag_s = 0.0  # a machine is listed once it is that old
        self.count = 0
        self.down = False
        self.nursery: trio.Nursery | None = None
        self.host = "10.1.0.1"
        self.listen: Callable[[Agent, int], object] | None = None  # over real sockets

    def gang(self, job: str, attempt: int) -> list[str]:
        """A job's tasks of one attempt that wait or run."""
        return [
            name
            for agent in self.agents.values()
            for name, task in agent.tasks.items()
            if job_of(name) == job and task.attempt == attempt and task.state in (WAITING, RUNNING)
        ]

    def add(self, type_: str, zone: str, spot: bool = False) -> Agent:
        """A new machine, up at once."""
        self.count += 1
        name, port = f"i-{self.count:06d}", FIRST_PORT + self.count
        agent = Agent(self, name, type_, zone, spot, port)
        self.agents[name] = agent
        self.network.hosts[(self.host, port)] = (name, agent.handle)
        if self.listen is not None:
            self.listen(agent, port)
        assert self.nursery is not None
        self.nursery.start_soon(agent.run)
        return agent

    async def handle(self, request: Request) -> Response:
        """A controller's request to the cloud."""
        if self.down:
            return Response(503, b'{"error":"trouble"}')
        if request.path == "/flavors":
            found = [{"sku": name, **row} for name, row in self.types.items()]
            return _answer({"presses": found})
        if request.path == "/machines/release":
            return self._release(json.loads(request.body)["vats"])
        if request.method == "POST":
            return self._hire(json.loads(request.body))
        return self._list()

    def _release(self, names: list[str]) -> Response:
        for name in names:
            agent = self.agents.pop(name, None)
            if agent is not None:
                self.released.append(name)
                agent.vanish()
        return _answer({})

    def _hire(self, body: dict[str, Any]) -> Response:
        known = self.answers.get(body["hire"])
        if known is not None:
            return _answer({"vats": known})
        room = self.capacity - len(self.agents)
        if room <= 0:
            return Response(503, b'{"error":"no capacity"}')
        names = [
            self.add(body["press"], body["parcel"], body["gleaning"]).name
            for _ in range(min(room, body["howMany"]))
        ]
        self.answers[body["hire"]] = names
        return _answer({"vats": names})

    def _list(self) -> Response:
        newest = trio.current_time() - self.list_lag_s
        rows = [
            {
                "ref": w.name,
                "address": w.address,
                "press": w.type,
                "parcel": w.zone,
                "gleaning": w.spot,
                "stage": "running",
                "ageS": LISTED_AGE_S,
            }
            for w in self.agents.values()
            if w.born <= newest or not self.list_lag_s
        ]
        return _answer({"vats": rows, "truncated": False})


def _answer(body: dict[str, Any]) -> Response:
    return Response(200, json.dumps(body).encode())
