"""Checks of the scheduling rules against what the simulated agents run."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import trio

if TYPE_CHECKING:
    from .agent import Agent

CPU_TOLERANCE = 1e-6  # rounding errors of sums of CPUs


def job_of(task: str) -> str:
    """Return the id of the job that a task belongs to."""
    return task.rpartition("/")[0]


class TaskPlacement(NamedTuple):
    """The machine that a task runs on, and its zone."""

    machine: str
    zone: str


class Rules:
    """Collects violations of placement, limit and cancellation rules, and counts for tests.

    Times are on trio's clock, in seconds.
    """

    def __init__(self, cancel_s: float) -> None:
        self.cancel_s = cancel_s
        self.specs: dict[str, dict[str, Any]] = {}  # job specifications by job id
        self.limits: dict[str, float] = {}  # CPUs by team; 0 means no limit
        self.placements: dict[str, TaskPlacement] = {}  # running tasks
        self.completed_tasks: set[str] = set()
        self.cancelled_at: dict[str, float] = {}  # time of the reply to the user, by job
        self.violations: list[str] = []
        self.start_count = 0  # task starts, repeated ones included
        self.first_start: dict[str, float] = {}  # time of the first task start, by job
        self.starts_after_cancel: list[float] = []  # seconds from cancellation to task start
        self.peak_cpus: dict[str, float] = {}  # highest number in use at once, by team
        self.failures = 0  # task attempts that ended with an error
        self.tasks_lost_to_lease_expiry = 0
        self._starts: dict[str, int] = {}  # number of task starts, by job

    def start(self, agent: Agent, task: str) -> None:
        """Record the start of a task on a machine, and check the rules on placement and limits."""
        job = job_of(task)
        self.start_count += 1
        self._starts[job] = self._starts.get(job, 0) + 1
        self.first_start.setdefault(job, trio.current_time())
        if task in self.placements:
            self.violations.append(f"ran_twice {task}")
        if job in self.cancelled_at:
            self.starts_after_cancel.append(trio.current_time() - self.cancelled_at[job])
        self._check_placement(agent, task)
        self.placements[task] = TaskPlacement(agent.name, agent.zone)
        self._check_limit(self.specs[job]["crew"])
        self.check()

    def starts_of(self, job: str) -> int:
        """Return the number of task starts of a job."""
        return self._starts.get(job, 0)

    def used_cpus(self, team: str) -> float:
        """Return the number of CPUs that a team's running tasks use."""
        specs = [self.specs[job_of(task)] for task in self.placements]
        return float(sum(spec["vcpus"] for spec in specs if spec["crew"] == team))

    def end(self, task: str) -> None:
        """Record the end of a task."""
        self.placements.pop(task, None)

    def check(self) -> None:
        """Check that no task runs longer than `cancel_s` after the cancellation of its job."""
        now = trio.current_time()
        for task in self.placements:
            cancelled_at = self.cancelled_at.get(job_of(task))
            if cancelled_at is not None and now - cancelled_at > self.cancel_s:
                self.violations.append(f"ran_cancelled {task}")

    def _check_placement(self, agent: Agent, task: str) -> None:
        spec = self.specs[job_of(task)]
        zones = [
            placement.zone
            for other, placement in self.placements.items()
            if job_of(other) == spec["ref"]
        ]
        if spec.get("presses") and agent.type not in spec["presses"]:
            self.violations.append(f"wrong_place type {task}")
        if spec.get("parcel") and agent.zone != spec["parcel"]:
            self.violations.append(f"wrong_place parcel {task}")
        if agent.spot and not spec["gleaning"]:
            self.violations.append(f"wrong_place spot {task}")
        if spec["oneZone"] and any(zone != agent.zone for zone in zones):
            self.violations.append(f"wrong_place zone {task}")
        if spec["spread"] and zones.count(agent.zone) + 1 > (spec["rows"] + 1) // 2:
            self.violations.append(f"wrong_place spread {task}")

    def _check_limit(self, team: str) -> None:
        used = self.used_cpus(team)
        self.peak_cpus[team] = max(self.peak_cpus.get(team, 0.0), used)
        limit = self.limits.get(team, 0.0)
        if limit and used > limit + CPU_TOLERANCE:
            self.violations.append(f"quota {team} {used}")
