"""The tasks on one machine: executes commands, and plays how tasks wait, run and end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import trio

from .rules import CPU_TOLERANCE, job_of

if TYPE_CHECKING:
    from .agent import Agent

BROKEN_TASK_DURATION_S = 0.5  # after which a task of a broken job fails

WAITING = "waiting"  # for the rest of its gang
RUNNING = "running"
ENDED = "ended"


@dataclass(slots=True)
class TaskAttempt:
    """An attempt at a task, as its machine knows it until its end is acknowledged."""

    attempt: int
    state: str
    cause: str = ""
    state_since: float = 0.0  # when it began to wait or to run

    @property
    def active(self) -> bool:
        """Whether the task has not ended yet."""
        return self.state != ENDED

    def heartbeat_entry(self, name: str) -> dict[str, Any]:
        """Return the task as a heartbeat lists it."""
        row = {"row": name, "pressing": self.attempt, "stage": self.state}
        if not self.active:
            row["cause"] = self.cause
        return row


class MachineTasks:
    """The tasks that one agent holds, by name."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        self.world = agent.world
        self.tasks: dict[str, TaskAttempt] = {}

    def execute(self, commands: list[dict[str, Any]]) -> None:
        """Execute commands in order: start, stop, acknowledge the end."""
        for command in commands:
            name, attempt = command["row"], command["pressing"]
            held = self.tasks.get(name)
            if command["order"] == "start":
                self._start(name, attempt, held)
            elif held is None or held.attempt != attempt:
                continue
            elif command["order"] == "kill" and held.active:
                self._end(name, "stopped")
            elif command["order"] == "forget" and not held.active:
                del self.tasks[name]
                self.agent.status_changed.set()

    def advance(self) -> None:
        """Let waiting tasks start and running ones end, as the time has come."""
        for name, task in list(self.tasks.items()):
            if task.state == WAITING:
                self._wait_for_gang(name, task)
            elif task.state == RUNNING:
                self._run(name, task)

    def drop_all(self) -> None:
        """Drop all tasks, as a machine does that goes down."""
        for name, task in self.tasks.items():
            if task.active:
                self.world.rules.end(name)
        self.tasks.clear()

    def free_cpus(self) -> float:
        """Return the CPUs that no active task uses."""
        specs = self.world.rules.specs
        used = sum(specs[job_of(n)]["vcpus"] for n, t in self.tasks.items() if t.active)
        return float(self.world.types[self.agent.type]["vcpus"] - used)

    def _start(self, name: str, attempt: int, held: TaskAttempt | None) -> None:
        if held is not None and held.attempt == attempt:
            return
        self.agent.status_changed.set()
        spec = self.world.rules.specs.get(job_of(name))
        if spec is not None and held is not None and held.active:
            return
        refusal = self._refusal(spec)
        if refusal or spec is None:
            self.tasks[name] = TaskAttempt(attempt, ENDED, refusal)
            return
        gang = spec["cut"] == "gang" and spec["rows"] > 1
        state = WAITING if gang else RUNNING
        self.tasks[name] = TaskAttempt(attempt, state, state_since=trio.current_time())
        self.world.rules.start(self.agent, name)

    def _refusal(self, spec: dict[str, Any] | None) -> str:
        """Return why a task of such a job ends at once; empty if it may start."""
        if spec is None:
            return "unknown"
        if spec["vcpus"] > self.free_cpus() + CPU_TOLERANCE:
            return "full"
        if self.agent.fails_tasks:
            self.world.rules.failures += 1
            return "error"
        return ""

    def _end(self, name: str, cause: str) -> None:
        self.tasks[name] = TaskAttempt(self.tasks[name].attempt, ENDED, cause)
        self.world.rules.end(name)
        self.agent.status_changed.set()

    def _wait_for_gang(self, name: str, task: TaskAttempt) -> None:
        job = job_of(name)
        present = len(self.world.active_gang_tasks(job, task.attempt))
        done = sum(1 for other in self.world.rules.completed_tasks if job_of(other) == job)
        now = trio.current_time()
        if present + done >= self.world.rules.specs[job]["rows"]:
            task.state, task.state_since = RUNNING, now
            self.agent.status_changed.set()
        elif now - task.state_since > self.world.times.gang_wait_s:
            self._end(name, "incomplete")

    def _run(self, name: str, task: TaskAttempt) -> None:
        spec = self.world.rules.specs[job_of(name)]
        ran = trio.current_time() - task.state_since
        if spec.get("broken"):
            if ran >= BROKEN_TASK_DURATION_S:
                self.world.rules.failures += 1
                self._end(name, "error")
        elif spec["cut"] == "standing":
            ends = spec.get("realEnds")  # seconds after which a replica ends, as it shouldn't
            if ends is not None and ran >= ends:
                self._end(name, "done")
        elif ran >= self._duration(name):
            self.world.rules.completed_tasks.add(name)
            self._end(name, "done")

    def _duration(self, name: str) -> float:
        """Return the seconds that a task really runs: all of a job's alike, or each its own."""
        job, _, number = name.rpartition("/")
        spec = self.world.rules.specs[job]
        each: list[float] = spec.get("realBy", [])
        return each[int(number)] if each else float(spec["realS"])
