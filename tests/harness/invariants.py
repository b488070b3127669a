"""Invariants on the answers to users and on the waiting time of jobs and replicas.

No answer may contradict an earlier one, and no job or replica may wait although it could run.
`standins.rules.Rules` checks placements, limits, zones and cancellations, at each start of a task
and ten times a second.
"""

from __future__ import annotations

from typing import Any

from standins.cloud import World
from standins.rules import CPU_TOLERANCE, Rules, job_of

FINAL_STAGES = ("done", "withdrawn")


class InvariantChecker:
    """Collects violations of the invariants from the answers to users and the agents' tasks."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        # By job id; times are in seconds of the simulation's clock.
        self.accepted: dict[str, float] = {}  # time of the first successful answer
        self.final_stages: dict[str, str] = {}
        self.finished_at: dict[str, float] = {}
        self.cancel_requested: set[str] = set()
        self.last_answered_at: dict[str, float] = {}
        self.startable_since: dict[str, float] = {}  # jobs that wait although they could start
        # By task name: replicas that no machine runs.
        self.missing_since: dict[str, float] = {}
        self.violations: list[str] = []

    def observe(
        self,
        asked_at: float,
        answered_at: float,
        id: str,
        status: int,
        stage: str,
        *,
        repeat: bool = False,
    ) -> None:
        """Check the answer to a user's request against all earlier answers.

        An answer may show an older state than another one only if it was requested before the
        other one arrived.
        """
        was_accepted = self.accepted.get(id, answered_at) < asked_at
        if status == 404 and was_accepted:
            self.violations.append(f"lost_job {id}: 404 after its acceptance")
        if repeat and status in (400, 422) and was_accepted:
            self.violations.append(f"lost_job {id}: {status} to a repeated submission")
        if status not in (200, 201):
            return
        self.last_answered_at[id] = answered_at
        if id not in self.rules.specs:
            self.violations.append(f"unknown_job {id}: no user submitted it")
            return
        self.accepted.setdefault(id, answered_at)
        earlier_stage = self.final_stages.get(id)
        if earlier_stage is not None and stage != earlier_stage and self.finished_at[id] < asked_at:
            self.violations.append(f"inconsistent_stage {id}: {earlier_stage}, then {stage}")
        if stage == "withdrawn" and id not in self.cancel_requested:
            self.violations.append(
                f"inconsistent_stage {id}: withdrawn, but its user did not cancel it"
            )
        if stage in FINAL_STAGES:
            self.final_stages.setdefault(id, stage)
            self.finished_at.setdefault(id, answered_at)
        if stage == "withdrawn":
            self.rules.cancelled_at.setdefault(id, answered_at)
        if stage == "done" and self.rules.specs[id]["cut"] == "standing":
            self.violations.append(f"not_done {id}: a service is never done")
        if stage == "done" and self._count_done(id) < self.rules.specs[id]["rows"]:
            self.violations.append(f"not_done {id}: tasks are still unfinished")

    def _count_done(self, id: str) -> int:
        return sum(1 for task in self.rules.completed_tasks if job_of(task) == id)

    def check_jobs_are_answered(
        self, now: float, faults_ended_at: float, limit: float = 75.0
    ) -> None:
        """Check that each accepted job had a successful answer in the last `limit` seconds.

        Time before the end of the last fault doesn't count.
        """
        for id in self.accepted:
            if now - max(faults_ended_at, self.last_answered_at.get(id, faults_ended_at)) > limit:
                self.violations.append(f"lost_job {id}: no answer")

    def check_startable_jobs_start(self, now: float, cloud: World, limit: float = 90.0) -> None:
        """Check that no job waits longer than `limit` seconds while it could start.

        A job could start if machines have room for it and its team's limit allows it.
        """
        used: dict[str, float] = {}
        for task in self.rules.placements:
            spec = self.rules.specs[job_of(task)]
            used[spec["crew"]] = used.get(spec["crew"], 0.0) + spec["vcpus"]
        for id in self.accepted:
            if id in self.final_stages or not self._could_start(id, cloud, used):
                self.startable_since.pop(id, None)
            elif now - self.startable_since.setdefault(id, now) > limit:
                self.violations.append(f"starved {id}: pending although it could start")
                self.startable_since[id] = now

    def check_replicas_return(self, now: float, faults_ended_at: float, limit: float) -> None:
        """Check that no service replica has been missing for longer than `limit` seconds.

        Time before the end of the last fault doesn't count.
        """
        for id in self.accepted:
            spec = self.rules.specs[id]
            if spec["cut"] != "standing" or id in self.cancel_requested:
                continue
            for number in range(spec["rows"]):
                task = f"{id}/{number}"
                if task in self.rules.placements:
                    self.missing_since.pop(task, None)
                    continue
                missing_from = max(faults_ended_at, self.missing_since.setdefault(task, now))
                if now - missing_from > limit:
                    self.violations.append(f"replica_missing {task}")

    def _could_start(self, id: str, cloud: World, used: dict[str, float]) -> bool:
        """Return whether one more task of a job, or its whole gang, could start."""
        spec: dict[str, Any] = self.rules.specs[id]
        placed = {task for task in self.rules.placements if job_of(task) == id}
        if self._count_done(id) + len(placed) >= spec["rows"]:
            return False
        gang = spec["cut"] == "gang"
        if gang and placed:
            return False
        limit = self.rules.limits.get(spec["crew"], 0.0)
        min_tasks = spec["rows"] if gang else 1
        if (
            limit
            and used.get(spec["crew"], 0.0) + min_tasks * spec["vcpus"] > limit + CPU_TOLERANCE
        ):
            return False
        free_slots = self._free_slots(spec, cloud, placed)
        if spec["oneZone"]:
            return max(free_slots.values(), default=0) >= min_tasks
        return sum(free_slots.values()) >= min_tasks

    def _free_slots(self, spec: dict[str, Any], cloud: World, placed: set[str]) -> dict[str, int]:
        """Return by zone how many more tasks of a job the machines have room for."""
        zones = {self.rules.placements[task].zone for task in placed}
        free_slots: dict[str, int] = {}
        for agent in cloud.agents.values():
            if agent.hung or agent.fails_tasks or agent.preemption_at is not None:
                continue
            if spec.get("presses") and agent.type not in spec["presses"]:
                continue
            if spec.get("parcel") and agent.zone != spec["parcel"]:
                continue
            if agent.spot and not spec["gleaning"]:
                continue
            if spec["oneZone"] and zones and agent.zone not in zones:
                continue
            slots = int((agent.free_cpus() + CPU_TOLERANCE) / spec["vcpus"])
            free_slots[agent.zone] = free_slots.get(agent.zone, 0) + slots
        if spec["spread"]:
            max_per_zone = (spec["rows"] + 1) // 2
            for zone in free_slots:
                in_zone = sum(1 for task in placed if self.rules.placements[task].zone == zone)
                free_slots[zone] = min(free_slots[zone], max_per_zone - in_zone)
        return free_slots

    def check(self) -> None:
        """Fail if an invariant or a rule on placements has been violated."""
        self.rules.check()
        assert not self.rules.violations, self.rules.violations
        assert not self.violations, self.violations
