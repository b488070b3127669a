"""A cloud with workers, and the rules that must hold on them.

The network between named hosts is a table of handlers with faults: calls can be
cut, lost on the way back, or delivered again later.
"""

from __future__ import annotations

import contextvars
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from pitchtally.http import Client, HttpError, Request, Response, Server, _split

Handler = Callable[[Request], Awaitable[Response]]
HERE: contextvars.ContextVar[str] = contextvars.ContextVar("here", default="user")
CALLER: contextvars.ContextVar[str] = contextvars.ContextVar("caller", default="user")


class Network:
    """Calls by address, in memory; each host has a name, and faults are by name."""

    def __init__(self, seed: int = 1):
        self.hosts: dict[tuple[str, int], tuple[str, Handler]] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.dead: set[str] = set()
        self.late: dict[tuple[str, str], float] = {}  # executed again after this long
        self.lost: dict[tuple[str, str], float] = {}  # share of answers that are lost
        self.refused: set[tuple[str, str]] = set()  # connections are refused at once
        self.mute: set[str] = set()  # hosts whose own calls get nowhere
        self.slow: dict[tuple[str, str], float] = {}  # seconds until an answer comes
        # A cut that holds packets: calls get no answer, and arrive in order once it ends.
        self.held: set[tuple[str, str]] = set()
        self.packets: list[tuple[str, str, tuple[str, int], Request]] = []
        self.late_writes = 0.0  # share of transactions carried out 2 to 12 s late, unanswered
        self.late_reports = 0.0  # share of reports of which a copy arrives again later
        self.late_most = 30.0  # seconds, for copies of reports
        self.random = random.Random(seed)
        self.nursery: trio.Nursery | None = None

    def cut(self, a: str, b: str, *, both: bool = True) -> None:
        self.cuts.add((a, b))
        if both:
            self.cuts.add((b, a))

    def deafen(self, name: str) -> None:
        """Calls by the host arrive; nothing comes back, and no call reaches it."""
        self.cuts.add(("*", name))

    def hold(self, a: str, b: str) -> None:
        self.held |= {(a, b), (b, a)}

    def deliver(self) -> None:
        """The holding cuts end: what they held arrives, in order."""
        self.held.clear()
        packets, self.packets = self.packets, []
        if packets and self.nursery is not None:
            self.nursery.start_soon(self._deliver, packets)

    async def _deliver(self, packets: list[tuple[str, str, tuple[str, int], Request]]) -> None:
        for here, _, address, request in packets:
            with trio.move_on_after(5.0):
                await self._arrive(here, address, request)

    def heal(self) -> None:
        self.cuts.clear()
        self.late.clear()
        self.lost.clear()
        self.refused.clear()
        self.mute.clear()
        self.slow.clear()
        self.late_writes = self.late_reports = 0.0
        self.deliver()

    def _is_cut(self, a: str, b: str) -> bool:
        return any(p in self.cuts for p in ((a, b), (a, "*"), ("*", b)))

    async def call(
        self,
        address: tuple[str, int],
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout: float,
    ) -> Response:
        here = HERE.get()
        host = self.hosts.get(address)
        with trio.move_on_after(timeout):
            await trio.sleep(0.001 + self.random.random() * 0.002)
            if host is None or host[0] in self.dead or (here, host[0]) in self.refused:
                raise HttpError("refused")
            name, handler = host
            if self._is_cut(here, name) or here in self.mute:
                await trio.sleep_forever()
            path, query = _split(target.encode())
            request = Request(method, path, query, body)
            if (here, name) in self.held:
                self.packets.append((here, name, address, request))
                await trio.sleep_forever()
            again = self.late.get((here, name))
            if target == "/v1/report" and self.random.random() < self.late_reports:
                again = self.random.uniform(2.0, self.late_most)
            if again is not None and self.nursery is not None:
                self.nursery.start_soon(self._again, again, here, address, request)
            if target == "/commit" and self.random.random() < self.late_writes:
                assert self.nursery is not None
                after = self.random.uniform(2.0, 12.0)
                self.nursery.start_soon(self._again, after, here, address, request)
                await trio.sleep_forever()
            response = await self._serve(here, name, handler, request)
            await trio.sleep(self.slow.get((here, name), 0.0))
            if self._is_cut(name, here) or name in self.dead:
                await trio.sleep_forever()
            if self.random.random() < self.lost.get((here, name), 0.0):
                await trio.sleep_forever()
            await trio.sleep(0.001)
            return response
        raise HttpError("no answer")

    async def _serve(self, here: str, name: str, handler: Handler, request: Request) -> Response:
        """The handler runs as its host: what it asks of others meets that host's cuts."""
        host, caller = HERE.set(name), CALLER.set(here)
        try:
            return await handler(request)
        finally:
            HERE.reset(host)
            CALLER.reset(caller)

    async def _again(
        self, after: float, here: str, address: tuple[str, int], request: Request
    ) -> None:
        await trio.sleep(after)
        await self._arrive(here, address, request)

    async def _arrive(self, here: str, address: tuple[str, int], request: Request) -> None:
        """A late packet meets whoever listens there by now."""
        name, handler = self.hosts[address]
        if name not in self.dead:
            await self._serve(here, name, handler, request)

    def install(self, monkeypatch: Any) -> None:
        """Let every client and server of this process use this network."""
        network = self

        async def call(
            self: Client,
            address: tuple[str, int],
            method: str,
            target: str,
            body: bytes = b"",
            *,
            timeout: float,
        ) -> Response:
            return await network.call(address, method, target, body, timeout=timeout)

        async def serve(self: Server, host: str, port: int) -> None:
            network.hosts[(host, port)] = (HERE.get(), self._handle)
            await trio.sleep_forever()

        monkeypatch.setattr(Client, "call", call)
        monkeypatch.setattr(Server, "serve", serve)


class Rules:
    """What may never happen, watched from the workers' side."""

    def __init__(self, cancel_s: float) -> None:
        self.cancel_s = cancel_s
        self.specs: dict[str, dict[str, Any]] = {}
        self.places: dict[str, tuple[str, str]] = {}  # task -> (machine, zone)
        self.done: set[str] = set()
        self.cancelled: dict[str, float] = {}
        self.limits: dict[str, float] = {}  # team -> CPUs
        self.broken: list[str] = []
        self.started = 0
        self.first: dict[str, float] = {}  # job -> when its first task started
        self.most: dict[str, float] = {}  # team -> most CPUs in use at once
        self.failures = 0  # tasks that ended with an error
        self.leases_over = 0  # tasks that ended with their machine's lease

    def start(self, worker: Worker, task: str) -> None:
        spec = self.specs[task.rpartition("/")[0]]
        self.started += 1
        if task in self.places:
            self.broken.append(f"ran_twice {task}")
        job = spec["ref"]
        others = [z for t, (_, z) in self.places.items() if t.rpartition("/")[0] == job]
        if spec.get("presses") and worker.type not in spec["presses"]:
            self.broken.append(f"wrong_place type {task}")
        if spec.get("parcel") and worker.zone != spec["parcel"]:
            self.broken.append(f"wrong_place parcel {task}")
        if worker.spot and not spec["gleaning"]:
            self.broken.append(f"wrong_place spot {task}")
        if spec["oneZone"] and any(z != worker.zone for z in others):
            self.broken.append(f"wrong_place zone {task}")
        if spec["spread"] and others.count(worker.zone) + 1 > (spec["rows"] + 1) // 2:
            self.broken.append(f"wrong_place spread {task}")
        self.places[task] = (worker.name, worker.zone)
        team = spec["crew"]
        used = sum(
            self.specs[t.rpartition("/")[0]]["vcpus"]
            for t in self.places
            if self.specs[t.rpartition("/")[0]]["crew"] == team
        )
        self.first.setdefault(job, trio.current_time())
        self.most[team] = max(self.most.get(team, 0.0), used)
        if self.limits.get(team, 0) and used > self.limits[team] + 1e-6:
            self.broken.append(f"quota {team} {used}")
        self.check()

    def leave(self, task: str) -> None:
        self.places.pop(task, None)

    def check(self) -> None:
        now = trio.current_time()
        for task in self.places:
            at = self.cancelled.get(task.rpartition("/")[0])
            if at is not None and now - at > self.cancel_s:
                self.broken.append(f"ran_cancelled {task}")


class Worker:
    """One machine: reports, executes orders, keeps its lease."""

    def __init__(self, world: World, name: str, type_: str, zone: str, spot: bool, port: int):
        self.world = world
        self.name, self.type, self.zone, self.spot = name, type_, zone, spot
        self.address = f"{world.host}:{port}"
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks: dict[str, dict[str, Any]] = {}
        self.renewed = trio.current_time()
        self.node = world.random.randrange(len(world.nodes))
        self.changed = trio.Event()
        self.gone = False
        self.sick = False
        self.notice_at: float | None = None  # when the cloud takes the machine back
        self.hung = False
        self.inbox: list[Request] = []  # commands that came while it hung

    async def hang(self, seconds: float) -> None:
        """Nothing is executed for so long; then it goes on, within its lease or not."""
        self.hung = True
        await trio.sleep(seconds)
        self.hung = False
        for task in self.tasks.values():
            if "since" in task:
                task["since"] += seconds  # it didn't run meanwhile
        self._check_lease()
        inbox, self.inbox = self.inbox, []
        for request in inbox:
            await self.handle(request)
        self.changed.set()

    def report(self) -> dict[str, Any]:
        self.seq += 1
        return {
            "vat": self.name,
            "address": self.address,
            "press": self.type,
            "parcel": self.zone,
            "recallS": None
            if self.notice_at is None
            else max(0.0, self.notice_at - trio.current_time()),
            "gleaning": self.spot,
            "shift": self.session,
            "tally": self.seq,
            "seal": self.token,
            "rows": [
                {
                    "row": t,
                    "pressing": s["attempt"],
                    "stage": s["state"],
                    **({"cause": s["cause"]} if s["state"] == "ended" else {}),
                    **({"saved": True} if s.get("saved") else {}),
                }
                for t, s in self.tasks.items()
            ],
        }

    async def run(self) -> None:
        HERE.set(self.name)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._work)
            while not self.gone:
                while self.hung:
                    await trio.sleep(0.05)
                await self._report()
                # Something that changes is reported, but not within half a second.
                await trio.sleep(0.5)
                with trio.move_on_after(max(0.0, self.world.report_s - 0.5)):
                    await self.changed.wait()
                self.changed = trio.Event()
            nursery.cancel_scope.cancel()

    async def _report(self) -> None:
        sent = trio.current_time()
        session = self.session
        body = json.dumps(self.report()).encode()
        try:
            response = await self.world.network.call(
                self.world.nodes[self.node][1], "POST", "/v1/report", body, timeout=4.0
            )
        except HttpError:
            response = Response(0)
        while self.hung:
            await trio.sleep(0.05)
        if self.gone or session != self.session or trio.current_time() - sent > 4.0:
            return
        if response.status == 200:
            answer = json.loads(response.body)
            if answer.get("seal", -1) >= self.token:
                if answer["seal"] > self.token:
                    self.token = answer["seal"]
                    self.changed.set()
                self.renewed = sent
                self._execute(answer["orders"])
            return
        if response.status == 421 and json.loads(response.body).get("steward"):
            names = [n for n, _ in self.world.nodes]
            target = json.loads(response.body)["steward"]
            if target in names and names.index(target) != self.node:
                self.node = names.index(target)
                self.changed.set()
                return
        await trio.sleep(1.0)
        self.node = (self.node + 1) % len(self.world.nodes)
        self.changed.set()

    async def handle(self, request: Request) -> Response:
        if self.hung and request.path == "/commands":
            self.inbox.append(request)
        if self.gone or self.hung:
            await trio.sleep_forever()
        if request.path == "/status":
            return Response(200, json.dumps(self.report()).encode())
        body = json.loads(request.body)
        if body["seal"] < self.token or body["shift"] != self.session:
            return Response(409, json.dumps(self.report()).encode())
        if body["seal"] > self.token:
            self.token = body["seal"]
            self.changed.set()
        self._execute(body["orders"])
        return Response(200, json.dumps(self.report()).encode())

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            task, attempt = order["row"], order["pressing"]
            held = self.tasks.get(task)
            if order["order"] == "start":
                self._start(task, attempt, held)
            elif held is None or held["attempt"] != attempt:
                continue
            elif order["order"] == "kill" and held["state"] != "ended":
                self._end(task, "stopped")
            elif order["order"] == "forget" and held["state"] == "ended":
                del self.tasks[task]
                self.changed.set()

    def _start(self, task: str, attempt: int, held: dict[str, Any] | None) -> None:
        if held is not None and held["attempt"] == attempt:
            return
        self.changed.set()
        spec = self.world.rules.specs.get(task.rpartition("/")[0])
        state = {"attempt": attempt, "state": "ended", "cause": ""}
        if spec is None:
            state["cause"] = "unknown"
        elif held is not None and held["state"] != "ended":
            return
        else:
            used = sum(
                self.world.rules.specs[t.rpartition("/")[0]]["vcpus"]
                for t, s in self.tasks.items()
                if s["state"] != "ended"
            )
            if used + spec["vcpus"] > self.world.types[self.type]["vcpus"] + 1e-6:
                state["cause"] = "full"
            elif self.sick:
                state["cause"] = "error"
                self.world.rules.failures += 1
            else:
                gang = spec["cut"] == "gang" and spec["rows"] > 1
                state = {
                    "attempt": attempt,
                    "state": "waiting" if gang else "running",
                    "since": trio.current_time(),
                }
                self.world.rules.start(self, task)
        self.tasks[task] = state

    def _end(self, task: str, cause: str) -> None:
        self.tasks[task] = {
            "attempt": self.tasks[task]["attempt"],
            "state": "ended",
            "cause": cause,
        }
        self.world.rules.leave(task)
        self.changed.set()

    def _lose_all(self) -> None:
        for task, held in self.tasks.items():
            if held["state"] != "ended":
                self.world.rules.leave(task)
        self.tasks.clear()

    def _needs(self, task: str) -> float:
        """Seconds that a task really runs: all of a job's alike, or each its own."""
        job, _, number = task.rpartition("/")
        spec = self.world.rules.specs[job]
        each: list[float] = spec.get("realBy", [])
        return each[int(number)] if each else float(spec["realS"])

    def _check_lease(self) -> None:
        now = trio.current_time()
        if now - self.renewed > self.world.lease_s:
            self.world.rules.leases_over += sum(
                1 for held in self.tasks.values() if held["state"] != "ended"
            )
            self._lose_all()
            self.session += 1
            self.renewed = now
            self.changed.set()

    def restart(self) -> None:
        """Down and up again before anybody noticed: nothing is left, a new session."""
        self._lose_all()
        self.session += 1
        self.renewed = trio.current_time()
        self.changed.set()

    def vanish(self) -> None:
        self.gone = True
        self._lose_all()

    async def _work(self) -> None:
        while True:
            await trio.sleep(0.1)
            now = trio.current_time()
            self.world.rules.check()
            # One that hangs may go on within its lease only: beyond that it counts as gone.
            self._check_lease()
            if self.hung:
                continue
            for task, held in list(self.tasks.items()):
                job = task.rpartition("/")[0]
                spec = self.world.rules.specs[job]
                if held["state"] == "waiting":
                    mates = self.world.gang(job, held["attempt"])
                    if (
                        len(mates)
                        + len([t for t in self.world.rules.done if t.rpartition("/")[0] == job])
                        >= spec["rows"]
                    ):
                        held.update(state="running", since=now)
                        self.changed.set()
                    elif now - held["since"] > self.world.gang_wait_s:
                        self._end(task, "incomplete")
                elif held["state"] == "running" and spec.get("broken"):
                    if now - held["since"] >= 0.5:
                        self.world.rules.failures += 1
                        self._end(task, "error")
                elif held["state"] == "running" and now - held["since"] >= self._needs(task):
                    if spec["cut"] != "standing":
                        self.world.rules.done.add(task)
                        self._end(task, "done")


class World:
    """Cloud, workers and users' job descriptions around a set of nodes."""

    def __init__(
        self,
        network: Network,
        nodes: list[tuple[str, tuple[str, int]]],
        types: dict[str, dict[str, Any]],
        *,
        report_s: float,
        lease_s: float,
        cancel_s: float,
        gang_wait_s: float,
        capacity: int = 6,
        boot_s: float = 3.0,
        seed: int = 1,
    ):
        self.network = network
        self.nodes = nodes
        self.types = types
        self.report_s, self.lease_s, self.gang_wait_s = report_s, lease_s, gang_wait_s
        self.rules = Rules(cancel_s)
        self.random = random.Random(seed)
        self.workers: dict[str, Worker] = {}
        self.starting: dict[str, tuple[str, str, bool, float]] = {}
        self.answers: dict[str, list[str]] = {}
        self.released: list[str] = []
        self.capacity = capacity
        self.boot_s = boot_s
        self.count = 0
        self.down = False
        self.nursery: trio.Nursery | None = None
        self.host = "10.1.0.1"
        self.listen: Callable[[Worker, int], object] | None = None  # over real sockets

    def gang(self, job: str, attempt: int) -> list[str]:
        return [
            t
            for w in self.workers.values()
            for t, s in w.tasks.items()
            if t.rpartition("/")[0] == job
            and s["attempt"] == attempt
            and s["state"] in ("waiting", "running")
        ]

    def add(self, type_: str, zone: str, spot: bool = False) -> Worker:
        self.count += 1
        name = f"i-{self.count:06d}"
        worker = Worker(self, name, type_, zone, spot, 9000 + self.count)
        self.workers[name] = worker
        self.network.hosts[(self.host, 9000 + self.count)] = (name, worker.handle)
        if self.listen is not None:
            self.listen(worker, 9000 + self.count)
        assert self.nursery is not None
        self.nursery.start_soon(worker.run)
        return worker

    async def handle(self, request: Request) -> Response:
        if self.down:
            return Response(503, b'{"error":"trouble"}')
        if request.path == "/flavors":
            found = [{"sku": name, **row} for name, row in self.types.items()]
            return Response(200, json.dumps({"presses": found}).encode())
        if request.path == "/machines/release":
            for name in json.loads(request.body)["vats"]:
                worker = self.workers.pop(name, None)
                if worker is not None:
                    self.released.append(name)
                    worker.vanish()
            return Response(200, b"{}")
        if request.method == "POST":
            body = json.loads(request.body)
            if body["hire"] in self.answers:
                return Response(200, json.dumps({"vats": self.answers[body["hire"]]}).encode())
            room = self.capacity - len(self.workers)
            if room <= 0:
                return Response(503, b'{"error":"no capacity"}')
            names = [
                self.add(body["press"], body["parcel"], body["gleaning"]).name
                for _ in range(min(room, body["howMany"]))
            ]
            self.answers[body["hire"]] = names
            return Response(200, json.dumps({"vats": names}).encode())
        rows = [
            {
                "ref": w.name,
                "address": w.address,
                "press": w.type,
                "parcel": w.zone,
                "gleaning": w.spot,
                "stage": "running",
                "ageS": 60.0,
            }
            for w in self.workers.values()
        ]
        return Response(200, json.dumps({"vats": rows, "truncated": False}).encode())
