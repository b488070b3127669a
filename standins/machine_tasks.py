"""The tasks on one machine: executes commands and simulates how tasks wait, run and end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import trio

from .rules import CPU_TOLERANCE, job_of

if TYPE_CHECKING:
    from .agent import Agent

BROKEN_TASK_DURATION_S = 0.5  # run time until a task of a broken job fails

WAITING = "waiting"  # until all tasks of the gang are present
RUNNING = "running"
ENDED = "ended"


@dataclass(slots=True)
class TaskAttempt:
    """An attempt at a task, kept on its machine until the controller acknowledges its end."""

    attempt: int
    state: str
    cause: str = ""
    state_since: float = 0.0  # time at which it began to wait or to run

    @property
    def active(self) -> bool:
        """Whether the task has not ended yet."""
        return self.state != ENDED

    def heartbeat_entry(self, name: str) -> dict[str, Any]:
        """Return the task's entry in a heartbeat."""
        entry = {"row": name, "pressing": self.attempt, "stage": self.state}
        if not self.active:
            entry["cause"] = self.cause
        return entry


class MachineTasks:
    """The task attempts on one machine, by task name."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        self.world = agent.world
        self.tasks: dict[str, TaskAttempt] = {}

    def execute(self, commands: list[dict[str, Any]]) -> None:
        """Execute commands in order: start a task, stop it, or acknowledge its end."""
        for command in commands:
            name, attempt = command["row"], command["pressing"]
            current = self.tasks.get(name)
            if command["order"] == "start":
                self._start(name, attempt, current)
            elif current is None or current.attempt != attempt:
                continue
            elif command["order"] == "kill" and current.active:
                self._end(name, "stopped")
            elif command["order"] == "forget" and not current.active:
                del self.tasks[name]
                self.agent.status_changed.set()

    def advance(self) -> None:
        """Start tasks of complete gangs, and end tasks whose run or wait time has passed."""
        for name, task in list(self.tasks.items()):
            if task.state == WAITING:
                self._wait_for_gang(name, task)
            elif task.state == RUNNING:
                self._run(name, task)

    def drop_all(self) -> None:
        """Discard all tasks without a report, as when the machine goes down."""
        for name, task in self.tasks.items():
            if task.active:
                self.world.rules.end(name)
        self.tasks.clear()

    def free_cpus(self) -> float:
        """Return the number of CPUs that no active task uses."""
        specs = self.world.rules.specs
        used = sum(specs[job_of(name)]["vcpus"] for name, task in self.tasks.items() if task.active)
        return float(self.world.types[self.agent.type]["vcpus"] - used)

    def _start(self, name: str, attempt: int, current: TaskAttempt | None) -> None:
        if current is not None and current.attempt == attempt:
            return
        self.agent.status_changed.set()
        spec = self.world.rules.specs.get(job_of(name))
        if spec is not None and current is not None and current.active:
            return
        refusal = self._refusal(spec)
        if refusal or spec is None:
            self.tasks[name] = TaskAttempt(attempt, ENDED, refusal)
            return
        is_gang = spec["cut"] == "gang" and spec["rows"] > 1
        state = WAITING if is_gang else RUNNING
        self.tasks[name] = TaskAttempt(attempt, state, state_since=trio.current_time())
        self.world.rules.start(self.agent, name)

    def _refusal(self, spec: dict[str, Any] | None) -> str:
        """Return the cause with which a task of this job ends at once, or an empty string."""
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
        completed = sum(1 for other in self.world.rules.completed_tasks if job_of(other) == job)
        now = trio.current_time()
        if present + completed >= self.world.rules.specs[job]["rows"]:
            task.state, task.state_since = RUNNING, now
            self.agent.status_changed.set()
        elif now - task.state_since > self.world.times.gang_wait_s:
            self._end(name, "incomplete")

    def _run(self, name: str, task: TaskAttempt) -> None:
        spec = self.world.rules.specs[job_of(name)]
        elapsed = trio.current_time() - task.state_since
        if spec.get("broken"):
            if elapsed >= BROKEN_TASK_DURATION_S:
                self.world.rules.failures += 1
                self._end(name, "error")
        elif spec["cut"] == "standing":
            ends_after = spec.get("realEnds")  # seconds after which a replica ends unexpectedly
            if ends_after is not None and elapsed >= ends_after:
                self._end(name, "done")
        elif elapsed >= self._duration(name):
            self.world.rules.completed_tasks.add(name)
            self._end(name, "done")

    def _duration(self, name: str) -> float:
        """Return a task's actual run time in seconds, set per task (`realBy`) or per job."""
        job, _, number = name.rpartition("/")
        spec = self.world.rules.specs[job]
        durations: list[float] = spec.get("realBy", [])
        return durations[int(number)] if durations else float(spec["realS"])
