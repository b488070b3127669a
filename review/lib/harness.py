"""Stand-ins and helpers for the cases: machines, cloud, links, users, and controller processes.

Everything listens on loopback addresses, on ports that are free. The controllers are
separate processes, started with the `run` command of the deploy file; the state store is the
project's own stand-in. All times are seconds of the real clock since the start of the script.
"""

from __future__ import annotations

import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trio

from pitchtally.http import Client, HttpError, Request, Response, Server
from standins.state_store import StateStore

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CPU_CHECK_S = 0.004
CPU_BURST_S = 0.05  # processor time that a process may use at once after it was idle
# Below the ports of outgoing connections, which start at 32768 on Linux: one of these could take a
# port between its choice here and its use by a process that is started with it.
PORTS = (10_000, 32_000)
_given_ports: set[int] = set()
RESTART_DELAY_S = 5.0  # brief: "back about 5 s after an end"
ACTIVE = ("waiting", "running", "flushing")


class CannotRunError(Exception):
    """The case could not be set up; nothing is said about the rule."""


def _cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9
    except (OSError, ValueError):
        ticks = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[11:13]
        return sum(map(int, ticks)) / os.sysconf("SC_CLK_TCK")


def free_port() -> int:
    """Return a port that is free now, and that no outgoing connection is given by the system."""
    while True:
        port = random.randrange(*PORTS)
        if port in _given_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


class Record:
    """Writes `record.txt`: one line an event, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = trio.current_time()

    def now(self) -> float:
        """Return the seconds since the start."""
        return trio.current_time() - self._started_at

    def since_start(self, time: float) -> float:
        """Return the seconds from the start to a time of trio's clock."""
        return time - self._started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


async def serve(handler: Callable[[Request], Awaitable[Response]], port: int) -> None:
    """Serve HTTP on a loopback port until cancelled."""
    server = Server(handler, max_connections=400, idle_timeout=120, request_timeout=30)
    await server.serve(HOST, port)


class Link:
    """A TCP proxy from one process to another; it can hold all traffic, as a cut does.

    While it holds, connections open and nothing passes; afterwards the held bytes are delivered
    in order, unless the sender has closed the connection meanwhile.
    """

    def __init__(self, target: int) -> None:
        self.port = free_port()
        self._target = target
        self._open = trio.Event()
        self._open.set()

    def hold(self) -> None:
        """Begin to hold traffic."""
        self._open = trio.Event()

    def release(self) -> None:
        """Deliver what was held, and pass traffic again."""
        self._open.set()

    async def run(self) -> None:
        """Accept connections until cancelled."""
        await trio.serve_tcp(self._connection, self.port, host=HOST)

    async def _connection(self, near: trio.SocketStream) -> None:
        try:
            await self._open.wait()
            far = await trio.open_tcp_stream(HOST, self._target)
            async with far, trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, near, far, nursery.cancel_scope)
                nursery.start_soon(self._pump, far, near, nursery.cancel_scope)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def _pump(
        self, source: trio.SocketStream, sink: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        try:
            while data := await source.receive_some(65536):
                await self._open.wait()
                await sink.send_all(data)
            await self._open.wait()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()


@dataclass(slots=True)
class Task:
    """One attempt of a task on a machine."""

    attempt: int
    stage: str
    cause: str = ""
    ends_at: float = 0.0


class Worker:
    """The worker of one machine, as the protocol describes it."""

    def __init__(self, site: Site, name: str, type_: str, zone: str) -> None:
        self.site = site
        self.name, self.type, self.zone = name, type_, zone
        self.port = free_port()
        self.shift, self.tally, self.seal = 1, 0, 0
        self.tasks: dict[str, Task] = {}
        self.changed = trio.Event()
        self.lease_from = trio.current_time()
        self.node = random.randrange(len(site.controllers))
        self.gone = False
        self.answered_report_at = 0.0  # set while the orders of an answer are carried out
        self._client = Client()
        self._seal_told_at = 0.0

    def free_cpus(self) -> float:
        """Return the CPUs that no task takes."""
        used = sum(
            self.site.jobs[name.rpartition("/")[0]]["vcpus"]
            for name, task in self.tasks.items()
            if task.stage in ACTIVE
        )
        return float(self.site.types[self.type]["vcpus"] - used)

    def report(self) -> dict[str, Any]:
        """Return a report with the next number."""
        self.tally += 1
        rows = []
        for name, task in self.tasks.items():
            row = {"row": name, "pressing": task.attempt, "stage": task.stage}
            if task.cause:
                row["cause"] = task.cause
            rows.append(row)
        return {
            "vat": self.name,
            "address": f"{HOST}:{self.port}",
            "press": self.type,
            "parcel": self.zone,
            "gleaning": False,
            "shift": self.shift,
            "tally": self.tally,
            "seal": self.seal,
            "recallS": None,
            "rows": rows,
        }

    async def run(self) -> None:
        """Report and run tasks until the machine is gone."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, self.handle, self.port)
            nursery.start_soon(self._tick)
            while not self.gone:
                sent_at = trio.current_time()
                pause = await self._send_report(sent_at)
                if pause:
                    await trio.sleep(pause)
                    continue
                await trio.sleep(max(0.0, sent_at + 0.5 - trio.current_time()))
                wait = self.site.report_s * random.uniform(0.75, 1.25)
                with trio.move_on_at(max(sent_at + wait, trio.current_time())):
                    await self.changed.wait()
                self.changed = trio.Event()
            nursery.cancel_scope.cancel()

    async def _send_report(self, sent_at: float) -> float:
        """Send one report; return the seconds until the next try, 0 if it was answered with 200."""
        shift = self.shift
        body = json.dumps(self.report()).encode()
        names = list(self.site.controllers)
        address = (HOST, self.site.controllers[names[self.node]].worker_port)
        try:
            answer = await self._client.call(address, "POST", "/v1/report", body, timeout=4.0)
        except HttpError:
            answer = Response(0, b"")
        if self.gone:
            return 0.0
        if answer.status == 200:
            if shift == self.shift:
                self._take_answer(json.loads(answer.body), sent_at)
            return 0.0
        if answer.status == 421:
            steward = json.loads(answer.body).get("steward")
            if steward in names and names.index(steward) != self.node:
                self.node = names.index(steward)
                return 0.01
        self.node = (self.node + 1) % len(names)
        return 1.0

    def _take_answer(self, answer: dict[str, Any], sent_at: float) -> None:
        if answer.get("seal", -1) < self.seal:
            return
        self._raise_seal(answer["seal"])
        self.lease_from = max(self.lease_from, sent_at)
        self.answered_report_at = self.site.record.since_start(sent_at)
        self._execute(answer["orders"])
        self.answered_report_at = 0.0

    def _raise_seal(self, seal: int) -> None:
        if seal <= self.seal:
            return
        self.seal = seal
        now = trio.current_time()
        if now - self._seal_told_at > self.site.lease_s / 2:
            self._seal_told_at = now
            self.changed.set()

    async def handle(self, request: Request) -> Response:
        """Answer `/commands` and `/status`."""
        if request.path == "/status":
            return Response(200, json.dumps(self.report()).encode())
        body = json.loads(request.body)
        if "seal" not in body or "shift" not in body:
            return Response(400, b"{}")
        if body["seal"] < self.seal or body["shift"] != self.shift:
            return Response(409, json.dumps(self.report()).encode())
        self._raise_seal(body["seal"])
        self._execute(body["orders"])
        return Response(200, json.dumps(self.report()).encode())

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            name, attempt = order["row"], order["pressing"]
            present = self.tasks.get(name)
            if order["order"] == "start":
                self._start(name, attempt, present)
            elif present is None or present.attempt != attempt:
                continue
            elif order["order"] == "kill" and present.stage in ACTIVE:
                self._end(name, present, "stopped")
            elif order["order"] == "forget" and present.stage == "ended":
                del self.tasks[name]
                self.changed.set()

    def _start(self, name: str, attempt: int, present: Task | None) -> None:
        if present is not None and present.attempt == attempt:
            return
        job, _, number = name.rpartition("/")
        spec = self.site.jobs.get(job)
        self.changed.set()
        if present is not None and present.stage in ACTIVE:
            self.site.record.write(f"refused busy {name} on {self.name}")
            return
        if spec is None or not number.isdigit() or int(number) >= spec["rows"]:
            self.tasks[name] = Task(attempt, "ended", "unknown")
            return
        if spec["vcpus"] > self.free_cpus() + 1e-6:
            self.tasks[name] = Task(attempt, "ended", "full")
            return
        self.tasks[name] = Task(
            attempt, "running", ends_at=trio.current_time() + self.site.run_s[job]
        )
        self.site.started(self, name, attempt)

    def _end(self, name: str, task: Task, cause: str) -> None:
        task.stage, task.cause = "ended", cause
        self.changed.set()
        self.site.ended(self, name, cause)

    def drop_all(self, cause: str) -> None:
        """Kill and forget all tasks."""
        for name, task in self.tasks.items():
            if task.stage in ACTIVE:
                self.site.ended(self, name, cause)
        self.tasks.clear()

    async def _tick(self) -> None:
        while True:
            await trio.sleep(0.1)
            now = trio.current_time()
            if now - self.lease_from > self.site.lease_s:
                self.site.record.write(f"lease ended on {self.name}")
                self.drop_all("lease")
                self.shift += 1
                self.lease_from = now
                self.changed.set()
            for name, task in self.tasks.items():
                if task.stage == "running" and task.ends_at <= now:
                    self._end(name, task, "done")


@dataclass(slots=True)
class Run:
    """One start of a task: when and where, and when it ended."""

    task: str
    machine: str
    started_at: float
    reported_at: float  # when the report was sent whose answer held the start; 0 if none
    ended_at: float | None = None
    cause: str = ""


@dataclass(slots=True)
class Controller:
    """One controller process and its ports."""

    name: str
    port: int
    peer_port: int
    worker_port: int
    config: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None
    links: dict[str, Link] = field(default_factory=dict)  # "state", and peers by name

    def start(self) -> None:
        """Start the process with the `run` command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        command = [*shlex.split(deploy["run"]), str(self.config)]
        command[0] = sys.executable if command[0] == "python3" else command[0]
        environment = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        environment.pop("PYTHONPATH", None)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def limit_cpu(self, share: float) -> None:
        """Hold the process to a share of one core, as the deploy page describes, until cancelled.

        The process runs freely while it stays within its share. Once it has used more, it is
        stopped until the time has come at which it would have had that much.
        """
        measured: subprocess.Popen[bytes] | None = None
        allowed = used = 0.0
        stopped = False
        last = trio.current_time()
        while True:
            await trio.sleep(CPU_CHECK_S)
            now = trio.current_time()
            process = self.process
            if process is None or process.poll() is not None:
                measured = None
                continue
            if process is not measured:
                measured, last, stopped = process, now, False
                allowed, used = CPU_BURST_S, 0.0
            try:
                used = _cpu_seconds(process.pid)
            except OSError:
                continue
            allowed = min(allowed + (now - last) * share, used + CPU_BURST_S)
            last = now
            if used > allowed and not stopped:
                stopped = True
                process.send_signal(signal.SIGSTOP)
            elif used <= allowed and stopped:
                stopped = False
                process.send_signal(signal.SIGCONT)

    def private_mb(self) -> float:
        """Return the private memory that the process holds, without files that it maps."""
        if self.process is None:
            return 0.0
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        return next((int(x.split()[1]) / 1024 for x in lines if x.startswith("RssAnon")), 0.0)

    async def limit_memory(self, limit_mb: float, record: Record) -> None:
        """Kill the process when it holds more than the limit, and start it again 5 s later.

        Only private memory is counted, which is less than the process holds in all.
        """
        while True:
            await trio.sleep(0.1)
            held = self.private_mb()
            if held <= limit_mb:
                continue
            self.kill()
            record.write(f"{self.name} held {held:.1f} MB and was killed")
            await trio.sleep(RESTART_DELAY_S)
            self.start()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None


def _toml(values: dict[str, Any]) -> str:
    return "".join(f"{name} = {json.dumps(value)}\n" for name, value in values.items())


class Site:
    """A small deployment: controllers, state store, cloud, machines, and what they ran."""

    def __init__(self, record: Record, *, deployment: dict[str, Any], count: int = 3) -> None:
        self.record = record
        self.deployment = deployment
        self.report_s = deployment["workers"]["report_s"]
        self.lease_s = deployment["workers"]["lease_s"]
        self.types: dict[str, dict[str, Any]] = deployment.pop("types")
        self.teams: list[dict[str, Any]] = deployment.pop("teams")
        self.jobs: dict[str, dict[str, Any]] = {}  # descriptions that users have uploaded
        self.run_s: dict[str, float] = {}  # how long a task of a job runs
        self.runs: list[Run] = []
        self.current: dict[tuple[str, str], Run] = {}
        self.workers: dict[str, Worker] = {}
        self.controllers: dict[str, Controller] = {}
        self.store = StateStore()
        self.state_port, self.cloud_port = free_port(), free_port()
        self.nursery: trio.Nursery | None = None
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._count = count
        self._client = Client()

    # --- what ran ---------------------------------------------------------------------

    def started(self, worker: Worker, name: str, attempt: int) -> None:
        """Record the start of a task."""
        run = Run(name, worker.name, self.record.now(), worker.answered_report_at)
        self.runs.append(run)
        self.current[(worker.name, name)] = run
        self.record.write(f"start {name} attempt={attempt} on {worker.name}")

    def ended(self, worker: Worker, name: str, cause: str) -> None:
        """Record the end of a task."""
        run = self.current.pop((worker.name, name), None)
        if run is not None:
            run.ended_at, run.cause = self.record.now(), cause
        self.record.write(f"end {name} on {worker.name} {cause}")

    def runs_of(self, job: str) -> list[Run]:
        """Return all runs of a job's tasks."""
        return [run for run in self.runs if run.task.startswith(job + "/")]

    # --- stand-ins --------------------------------------------------------------------

    async def handle_cloud(self, request: Request) -> Response:
        """Answer as the cloud: it rents nothing beyond the machines that are there."""
        if request.path == "/flavors":
            return _json({"presses": [{"sku": n, **t} for n, t in self.types.items()]})
        if request.path == "/machines/release":
            for name in json.loads(request.body)["vats"]:
                worker = self.workers.pop(name, None)
                if worker is not None:
                    self.record.write(f"released {name}")
                    worker.gone = True
                    worker.drop_all("released")
            return _json({})
        if request.method == "POST":
            return Response(503, b'{"error":"no capacity"}')
        vats = [
            {
                "ref": w.name,
                "address": f"{HOST}:{w.port}",
                "press": w.type,
                "parcel": w.zone,
                "gleaning": False,
                "stage": "running",
                "ageS": 600.0,
            }
            for w in sorted(self.workers.values(), key=lambda w: w.name)
            if w.name > request.query.get("since", "")
        ]
        return _json({"vats": vats, "truncated": False})

    def add_machine(self, type_: str, zone: str) -> Worker:
        """Add a machine that is up."""
        worker = Worker(self, f"i-{len(self.workers) + 1:06d}", type_, zone)
        self.workers[worker.name] = worker
        assert self.nursery is not None
        self.nursery.start_soon(worker.run)
        return worker

    def build(self, *, links: bool = False) -> None:
        """Choose ports, write the settings files, and start the stand-ins and links."""
        assert self.nursery is not None
        self.nursery.start_soon(self.store.run)
        self.nursery.start_soon(serve, self.store.handle, self.state_port)
        self.nursery.start_soon(serve, self.handle_cloud, self.cloud_port)
        for n in range(self._count):
            name = f"cellar-{n}"
            port = free_port()
            self.controllers[name] = Controller(
                name, port, free_port(), port, self.folder / f"{name}.toml", self.folder / name
            )
        for controller in self.controllers.values():
            state = self.state_port
            peers = {p.name: p.peer_port for p in self.controllers.values() if p is not controller}
            if links:
                controller.links = {"state": Link(state)}
                controller.links |= {name: Link(port) for name, port in peers.items()}
                for link in controller.links.values():
                    self.nursery.start_soon(link.run)
                state = controller.links["state"].port
                peers = {name: controller.links[name].port for name in peers}
            self._write_settings(controller, state, peers)

    def _write_settings(self, controller: Controller, state: int, peers: dict[str, int]) -> None:
        zones = self.deployment["zones"]
        text = _toml(
            {
                "node_name": controller.name,
                "domain": zones[0],
                "public_addr": f"{HOST}:{controller.port}",
                "peer_bind": f"{HOST}:{controller.peer_port}",
            }
        )
        for name, port in peers.items():
            member = {"node_name": name, "domain": zones[0], "address": f"{HOST}:{port}"}
            text += "\n[[members]]\n" + _toml(member)
        endpoints = {"cloud": f"{HOST}:{self.cloud_port}", "state": f"{HOST}:{state}"}
        text += "\n[endpoints]\n" + _toml(endpoints)
        tables = {n: v for n, v in self.deployment.items() if isinstance(v, dict)}
        values = {n: v for n, v in self.deployment.items() if not isinstance(v, dict)}
        text += "\n[deployment]\n" + _toml({"count": self._count, **values})
        for team in self.teams:
            text += "\n[[deployment.teams]]\n" + _toml(team)
        for name, table in tables.items():
            text += f"\n[deployment.{name}]\n" + _toml(table)
        controller.config.write_text(text)

    def stop(self) -> None:
        """End all controller processes."""
        for controller in self.controllers.values():
            if controller.process is not None:
                controller.process.send_signal(signal.SIGCONT)
            controller.kill()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    # --- users ------------------------------------------------------------------------

    async def ask(
        self, node: str, method: str, path: str, body: bytes = b"", *, timeout: float
    ) -> tuple[int, dict[str, Any]]:
        """Send a user's request to a node; status 0 stands for no answer."""
        address = (HOST, self.controllers[node].port)
        client = Client()
        try:
            answer = await client.call(address, method, path, body, timeout=timeout)
        except HttpError:
            return 0, {}
        finally:
            client.drop(address)
        try:
            decoded = json.loads(answer.body or b"{}")
        except ValueError:
            decoded = {}
        return answer.status, decoded

    async def submit(self, node: str, spec: dict[str, Any], run_s: float) -> int:
        """Upload a job's description and submit it once; return the status."""
        self.jobs[spec["ref"]], self.run_s[spec["ref"]] = spec, run_s
        body = json.dumps(spec).encode()
        status, answer = await self.ask(node, "POST", "/api/jobs", body, timeout=5.0)
        self.record.write(f"submit {spec['ref']} at {node}: {status} {json.dumps(answer)}")
        return status

    async def submit_until_accepted(
        self, spec: dict[str, Any], run_s: float, nodes: list[str] | None = None
    ) -> str | None:
        """Submit as a user does, for up to 60 s; return the node that accepted."""
        deadline = trio.current_time() + 60.0
        order = nodes or list(self.controllers)
        turn = 0
        while trio.current_time() < deadline:
            node = order[turn % len(order)]
            if await self.submit(node, spec, run_s) in (200, 201):
                return node
            turn += 1
            await trio.sleep(1.0)
        return None

    async def wait_ready(self, seconds: float) -> None:
        """Wait until all controllers are ready."""
        with trio.move_on_after(seconds):
            for name in self.controllers:
                while (await self.ask(name, "GET", "/ready", timeout=1.0))[0] != 200:
                    await trio.sleep(0.1)
            return
        raise CannotRunError("controllers did not become ready")


def _json(body: dict[str, Any]) -> Response:
    return Response(200, json.dumps(body).encode())


def small_deployment(**machine_limits: float) -> dict[str, Any]:
    """Return the deployment of wongsakul-guides as first written, with one zone and one type."""
    return {
        "zones": ["chaophraya"],
        "clock_off_ms": 1000.0,
        "types": {
            "mixbench": {
                "vcpus": 64.0,
                "cards": 0.0,
                "memGb": 256.0,
                "localGb": 200.0,
                "fetchGbPerS": 1.0,
                "rate": 4.24,
                "spotPrice": 1.16,
                "readyS": 20.0,
                "parcels": ["chaophraya"],
            },
        },
        "teams": [{"name": "recording-desk", "cpus": 0.0, "cpus_max": 0.0}],
        "workers": {
            "report_s": 3.0,
            "lease_s": 20.0,
            "gang_wait_s": 35.0,
            "gang_peer_s": 4.0,
            "cancel_s": 40.0,
        },
        "state": {"rps": 80.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 8},
        "cloud": {"rps": 3.0, "list_lag_s": 10.0},
        "machine_limits": {
            "cores": 0.432,
            "mem_mb": 146.0,
            "max_connections": 800,
            **machine_limits,
        },
    }


def job(ref: str, **fields: Any) -> dict[str, Any]:
    """Return a job's description; `fields` replace the defaults."""
    return {
        "ref": ref,
        "vintage": "transcript",
        "crew": "recording-desk",
        "cut": "sweep",
        "rank": "idle",
        "rows": 1,
        "vcpus": 1.0,
        "cards": 0.0,
        "memGb": 1.0,
        "cask": "img-01",
        "pullGb": 0.0,
        "presses": None,
        "parcel": None,
        "oneZone": False,
        "spread": False,
        "gleaning": False,
        "ripenS": 25.0,
        "rackS": 0.0,
        "bottleS": 0.0,
        "harvestS": None,
        **fields,
    }


def run_case(folder: Path, case: Callable[[Site, bool], Awaitable[bool]], **site: Any) -> None:
    """Run a case and end the process: 1 if the rule was broken, 0 if it held, 2 if not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        record = Record(folder / "record.txt")
        record.write(f"trouble={int(trouble)}")
        world: Site | None = None
        code = 2
        try:
            with trio.fail_after(117):
                async with trio.open_nursery() as nursery:
                    world = Site(record, **site)
                    world.nursery = nursery
                    held = await case(world, trouble)
                    code = 0 if held else 1
                    nursery.cancel_scope.cancel()
        except* Exception as group:
            code = 2
            record.write(f"the case could not run: {group.exceptions!r}")
        finally:
            if world is not None:
                world.stop()
            record.write(f"exit {code}")
            record.close()
        return code

    # A script that is told to end still ends the processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    sys.exit(trio.run(main))
