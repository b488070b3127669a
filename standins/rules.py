"""What may never happen to tasks and machines, watched from the agents' side."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

if TYPE_CHECKING:
    from .agent import Agent

TOLERANCE = 1e-6  # of sums of amounts


def job_of(task: str) -> str:
    """The job that a task belongs to."""
    return task.rpartition("/")[0]


class Rules:
    """The protocol's rules on places, limits and cancellations; breaches are collected."""

    def __init__(self, cancel_s: float) -> None:
        self.cancel_s = cancel_s
        self.specs: dict[str, dict[str, Any]] = {}
        self.places: dict[str, tuple[str, str]] = {}  # task -> (machine, zone)
        self.done: set[str] = set()
        self.cancelled: dict[str, float] = {}  # job -> when its user was told
        self.limits: dict[str, float] = {}  # team -> CPUs
        self.broken: list[str] = []
        self.started = 0
        self._starts: dict[str, int] = {}  # by job
        self.late_starts: list[float] = []  # seconds from a cancellation to a start after it
        self.first: dict[str, float] = {}  # job -> when its first task started
        self.most: dict[str, float] = {}  # team -> most CPUs in use at once
        self.failures = 0  # tasks that ended with an error
        self.leases_over = 0  # tasks that ended with their machine's lease

    def start(self, agent: Agent, task: str) -> None:
        """A task takes its place on a machine."""
        job = job_of(task)
        self.started += 1
        self._starts[job] = self._starts.get(job, 0) + 1
        self.first.setdefault(job, trio.current_time())
        if task in self.places:
            self.broken.append(f"ran_twice {task}")
        if job in self.cancelled:
            self.late_starts.append(trio.current_time() - self.cancelled[job])
        self._check_place(agent, task)
        self.places[task] = (agent.name, agent.zone)
        self._check_limit(self.specs[job]["crew"])
        self.check()

    def starts_of(self, job: str) -> int:
        """How many times tasks of a job were started."""
        return self._starts.get(job, 0)

    def _check_place(self, agent: Agent, task: str) -> None:
        spec = self.specs[job_of(task)]
        others = [z for t, (_, z) in self.places.items() if job_of(t) == spec["ref"]]
        if spec.get("presses") and agent.type not in spec["presses"]:
            self.broken.append(f"wrong_place type {task}")
        if spec.get("parcel") and agent.zone != spec["parcel"]:
            self.broken.append(f"wrong_place parcel {task}")
        if agent.spot and not spec["gleaning"]:
            self.broken.append(f"wrong_place spot {task}")
        if spec["oneZone"] and any(z != agent.zone for z in others):
            self.broken.append(f"wrong_place zone {task}")
        if spec["spread"] and others.count(agent.zone) + 1 > (spec["rows"] + 1) // 2:
            self.broken.append(f"wrong_place spread {task}")

    def used_by(self, team: str) -> float:
        """CPUs that a team's tasks hold at present."""
        specs = [self.specs[job_of(task)] for task in self.places]
        return float(sum(spec["vcpus"] for spec in specs if spec["crew"] == team))

    def _check_limit(self, team: str) -> None:
        used = self.used_by(team)
        self.most[team] = max(self.most.get(team, 0.0), used)
        limit = self.limits.get(team, 0.0)
        if limit and used > limit + TOLERANCE:
            self.broken.append(f"quota {team} {used}")

    def leave(self, task: str) -> None:
        """A task is on no machine any more."""
        self.places.pop(task, None)

    def check(self) -> None:
        """No task of a cancelled job may be left once `cancel_s` has passed."""
        now = trio.current_time()
        for task in self.places:
            at = self.cancelled.get(job_of(task))
            if at is not None and now - at > self.cancel_s:
                self.broken.append(f"ran_cancelled {task}")
