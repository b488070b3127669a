"""A machine's agent: reports to the controllers, executes their orders, keeps its lease."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import trio

from pitchtally.http import HttpError, Request, Response

from .network import COMMANDS_PATH, HERE, REPORT_PATH
from .rules import TOLERANCE, job_of

if TYPE_CHECKING:
    from .cloud import World

REPORT_TIMEOUT = 4.0  # an answer that comes later is dropped
RETRY_PAUSE = 1.0  # before the next node is tried
LEAST_PAUSE = 0.5  # between two reports, also when something has changed
TICK = 0.1  # how often tasks and the lease are looked at
HUNG_TICK = 0.05
BROKEN_TASK_S = 0.5  # after which a task of a broken job fails

WAITING = "waiting"
RUNNING = "running"
ENDED = "ended"


@dataclass(slots=True)
class HeldTask:
    """An attempt at a task, as its machine knows it until it is told to forget."""

    attempt: int
    state: str
    cause: str = ""
    since: float = 0.0  # when it began to wait or to run

    @property
    def active(self) -> bool:
        """Whether the task has not ended yet."""
        return self.state != ENDED

    def as_row(self, name: str) -> dict[str, Any]:
        """The task as a report lists it."""
        row = {"row": name, "pressing": self.attempt, "stage": self.state}
        if not self.active:
            row["cause"] = self.cause
        return row


class Agent:
    """One machine. It may hang, fail every task, or be taken back by the cloud."""

    def __init__(self, world: World, name: str, type_: str, zone: str, spot: bool, port: int):
        self.world = world
        self.name, self.type, self.zone, self.spot = name, type_, zone, spot
        self.address = f"{world.host}:{port}"
        self.epoch, self.seq, self.token = 1, 0, 0
        self.tasks: dict[str, HeldTask] = {}
        self.born = self.renewed = trio.current_time()
        self.node = world.random.randrange(len(world.nodes))
        self.changed = trio.Event()
        self.gone = False
        self.sick = False
        self.notice_at: float | None = None  # when the cloud takes the machine back
        self.hung = False
        self.inbox: list[Request] = []  # commands that came while it hung

    # --- what happens to the machine ----------------------------------------

    async def hang(self, seconds: float) -> None:
        """Nothing is executed for so long; then it goes on, within its lease or not."""
        self.hung = True
        await trio.sleep(seconds)
        self.hung = False
        for task in self.tasks.values():
            task.since += seconds  # it didn't run meanwhile
        self._check_lease()
        inbox, self.inbox = self.inbox, []
        for request in inbox:
            await self.handle(request)
        self.changed.set()

    def restart(self) -> None:
        """Down and up again before anybody noticed: nothing is left, a new session."""
        self._lose_all()
        self.epoch += 1
        self.renewed = trio.current_time()
        self.changed.set()

    def vanish(self) -> None:
        """The machine, and all that is on it, is gone."""
        self.gone = True
        self._lose_all()

    # --- reports ------------------------------------------------------------

    async def run(self) -> None:
        """Report and work until the machine is gone."""
        HERE.set(self.name)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._work)
            while not self.gone:
                await self._while_hung()
                await self._heartbeat()
                await trio.sleep(LEAST_PAUSE)
                with trio.move_on_after(max(0.0, self.world.report_s - LEAST_PAUSE)):
                    await self.changed.wait()
                self.changed = trio.Event()
            nursery.cancel_scope.cancel()

    async def _while_hung(self) -> None:
        while self.hung:
            await trio.sleep(HUNG_TICK)

    def report(self) -> dict[str, Any]:
        """The machine's state, under the next report number."""
        self.seq += 1
        notice = None
        if self.notice_at is not None:
            notice = max(0.0, self.notice_at - trio.current_time())
        return {
            "vat": self.name,
            "address": self.address,
            "press": self.type,
            "parcel": self.zone,
            "recallS": notice,
            "gleaning": self.spot,
            "shift": self.epoch,
            "tally": self.seq,
            "seal": self.token,
            "rows": [task.as_row(name) for name, task in self.tasks.items()],
        }

    async def _heartbeat(self) -> None:
        sent, epoch = trio.current_time(), self.epoch
        response = await self._send_report()
        await self._while_hung()
        late = trio.current_time() - sent > REPORT_TIMEOUT
        if self.gone or epoch != self.epoch or late:
            return
        if response.status == 200:
            self._take_answer(json.loads(response.body), sent)
        elif not self._redirected(response):
            await trio.sleep(RETRY_PAUSE)
            self.node = (self.node + 1) % len(self.world.nodes)
            self.changed.set()

    async def _send_report(self) -> Response:
        body = json.dumps(self.report()).encode()
        address = self.world.nodes[self.node][1]
        try:
            return await self.world.network.call(
                address, "POST", REPORT_PATH, body, timeout=REPORT_TIMEOUT
            )
        except HttpError:
            return Response(0)

    def _take_answer(self, answer: dict[str, Any], sent: float) -> None:
        if answer.get("seal", -1) < self.token:
            return
        self._see_token(answer["seal"])
        self.renewed = sent
        self._execute(answer["orders"])

    def _redirected(self, response: Response) -> bool:
        """Whether the node named another one that the machine reports to from now on."""
        if response.status != 421:
            return False
        target = json.loads(response.body).get("steward")
        names = [name for name, _ in self.world.nodes]
        if target not in names or names.index(target) == self.node:
            return False
        self.node = names.index(target)
        self.changed.set()
        return True

    def _see_token(self, token: int) -> None:
        if token > self.token:
            self.token = token
            self.changed.set()

    # --- orders -------------------------------------------------------------

    async def handle(self, request: Request) -> Response:
        """A direct command, or a question for the machine's state."""
        if self.hung and request.path == COMMANDS_PATH:
            self.inbox.append(request)
        if self.gone or self.hung:
            await trio.sleep_forever()
        if request.path == "/status":
            return self._own_report(200)
        body = json.loads(request.body)
        if body["seal"] < self.token or body["shift"] != self.epoch:
            return self._own_report(409)
        self._see_token(body["seal"])
        self._execute(body["orders"])
        return self._own_report(200)

    def _own_report(self, status: int) -> Response:
        return Response(status, json.dumps(self.report()).encode())

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            name, attempt = order["row"], order["pressing"]
            held = self.tasks.get(name)
            if order["order"] == "start":
                self._start(name, attempt, held)
            elif held is None or held.attempt != attempt:
                continue
            elif order["order"] == "kill" and held.active:
                self._end(name, "stopped")
            elif order["order"] == "forget" and not held.active:
                del self.tasks[name]
                self.changed.set()

    def _start(self, name: str, attempt: int, held: HeldTask | None) -> None:
        if held is not None and held.attempt == attempt:
            return
        self.changed.set()
        spec = self.world.rules.specs.get(job_of(name))
        if spec is not None and held is not None and held.active:
            return
        refusal = self._refusal(spec)
        if refusal or spec is None:
            self.tasks[name] = HeldTask(attempt, ENDED, refusal)
            return
        gang = spec["cut"] == "gang" and spec["rows"] > 1
        state = WAITING if gang else RUNNING
        self.tasks[name] = HeldTask(attempt, state, since=trio.current_time())
        self.world.rules.start(self, name)

    def _refusal(self, spec: dict[str, Any] | None) -> str:
        """Why a task of such a job ends at once; empty if it may start."""
        if spec is None:
            return "unknown"
        if spec["vcpus"] > self.free_cpus() + TOLERANCE:
            return "full"
        if self.sick:
            self.world.rules.failures += 1
            return "error"
        return ""

    def free_cpus(self) -> float:
        """CPUs that no active task holds."""
        specs = self.world.rules.specs
        used = sum(specs[job_of(n)]["vcpus"] for n, t in self.tasks.items() if t.active)
        return float(self.world.types[self.type]["vcpus"] - used)

    def _end(self, name: str, cause: str) -> None:
        self.tasks[name] = HeldTask(self.tasks[name].attempt, ENDED, cause)
        self.world.rules.leave(name)
        self.changed.set()

    def _lose_all(self) -> None:
        for name, task in self.tasks.items():
            if task.active:
                self.world.rules.leave(name)
        self.tasks.clear()

    # --- work ---------------------------------------------------------------

    async def _work(self) -> None:
        while True:
            await trio.sleep(TICK)
            self.world.rules.check()
            # One that hangs may go on within its lease only: beyond that it counts as gone.
            self._check_lease()
            if self.hung:
                continue
            for name, task in list(self.tasks.items()):
                if task.state == WAITING:
                    self._wait_for_gang(name, task)
                elif task.state == RUNNING:
                    self._advance(name, task)

    def _check_lease(self) -> None:
        now = trio.current_time()
        if now - self.renewed <= self.world.lease_s:
            return
        self.world.rules.leases_over += sum(1 for task in self.tasks.values() if task.active)
        self._lose_all()
        self.epoch += 1
        self.renewed = now
        self.changed.set()

    def _wait_for_gang(self, name: str, task: HeldTask) -> None:
        job = job_of(name)
        present = len(self.world.gang(job, task.attempt))
        done = sum(1 for other in self.world.rules.done if job_of(other) == job)
        now = trio.current_time()
        if present + done >= self.world.rules.specs[job]["rows"]:
            task.state, task.since = RUNNING, now
            self.changed.set()
        elif now - task.since > self.world.gang_wait_s:
            self._end(name, "incomplete")

    def _advance(self, name: str, task: HeldTask) -> None:
        spec = self.world.rules.specs[job_of(name)]
        ran = trio.current_time() - task.since
        if spec.get("broken"):
            if ran >= BROKEN_TASK_S:
                self.world.rules.failures += 1
                self._end(name, "error")
        elif spec["cut"] == "standing":
            ends = spec.get("realEnds")  # seconds after which a replica ends, as it shouldn't
            if ends is not None and ran >= ends:
                self._end(name, "done")
        elif ran >= self._seconds_needed(name):
            self.world.rules.done.add(name)
            self._end(name, "done")

    def _seconds_needed(self, name: str) -> float:
        """Seconds that a task really runs: all of a job's alike, or each its own."""
        job, _, number = name.rpartition("/")
        spec = self.world.rules.specs[job]
        each: list[float] = spec.get("realBy", [])
        return each[int(number)] if each else float(spec["realS"])
