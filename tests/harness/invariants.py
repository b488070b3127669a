"""The invariants on answers and on waiting, as users and agents see them.

Placements, limits, zones and cancellations are checked at each start and ten times a second by
`standins.rules.Rules`. Here it is checked that answers never contradict earlier ones, and that
no job or replica waits although it could run.
"""

from __future__ import annotations

from typing import Any

from standins.cloud import World
from standins.rules import CPU_TOLERANCE, Rules, job_of

FINAL_STAGES = ("done", "withdrawn")


class InvariantChecker:
    """Collects violations of the invariants, from users' answers and the state of the agents."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.accepted: dict[str, float] = {}  # job -> when its user got the first answer
        self.final_stages: dict[str, str] = {}
        self.final_at: dict[str, float] = {}
        self.cancel_requested: set[str] = set()
        self.last_answered: dict[str, float] = {}  # by job
        self.startable_since: dict[str, float] = {}  # by job that waits although it could start
        self.missing_since: dict[str, float] = {}  # by replica that isn't on a machine
        self.violations: list[str] = []

    def observe(
        self, asked: float, now: float, id: str, status: int, stage: str, *, repeat: bool = False
    ) -> None:
        """Check an answer that a user got to a request, against all earlier answers.

        An answer may be older than another one only if it was asked for before that one came.
        """
        accepted_before = self.accepted.get(id, now) < asked
        if status == 404 and accepted_before:
            self.violations.append(f"forgotten {id}: 404")
        if repeat and status in (400, 422) and accepted_before:
            self.violations.append(f"forgotten {id}: {status} to a repeat")
        if status not in (200, 201):
            return
        self.last_answered[id] = now
        if id not in self.rules.specs:
            self.violations.append(f"invented {id}")
            return
        self.accepted.setdefault(id, now)
        before = self.final_stages.get(id)
        if before is not None and stage != before and self.final_at[id] < asked:
            self.violations.append(f"went_back {id}: {before}, then {stage}")
        if stage == "withdrawn" and id not in self.cancel_requested:
            self.violations.append(f"went_back {id}: not cancelled by its user")
        if stage in FINAL_STAGES:
            self.final_stages.setdefault(id, stage)
            self.final_at.setdefault(id, now)
        if stage == "withdrawn":
            self.rules.cancelled_at.setdefault(id, now)
        if stage == "done" and self.rules.specs[id]["cut"] == "standing":
            self.violations.append(f"not_done {id}: a service")
        if stage == "done" and self._done(id) < self.rules.specs[id]["rows"]:
            self.violations.append(f"not_done {id}")

    def _done(self, id: str) -> int:
        return sum(1 for t in self.rules.completed_tasks if job_of(t) == id)

    def check_jobs_answer(self, now: float, calm_since: float, limit: float = 75.0) -> None:
        """Check that every job was answered for within the limit, without faults since then."""
        for id in self.accepted:
            if now - max(calm_since, self.last_answered.get(id, calm_since)) > limit:
                self.violations.append(f"forgotten {id}: no answer")

    def check_startable_jobs_start(self, now: float, world: World, limit: float = 90.0) -> None:
        """Check that no job waits that long while machines and its team's limit would take it."""
        used: dict[str, float] = {}
        for task in self.rules.placements:
            spec = self.rules.specs[job_of(task)]
            used[spec["crew"]] = used.get(spec["crew"], 0.0) + spec["vcpus"]
        for id in self.accepted:
            if id in self.final_stages or not self._could_start(id, world, used):
                self.startable_since.pop(id, None)
            elif now - self.startable_since.setdefault(id, now) > limit:
                self.violations.append(f"waits {id}")
                self.startable_since[id] = now

    def check_replicas_return(self, now: float, calm_since: float, limit: float) -> None:
        """Check that no replica is missing that long, without faults since then."""
        for id in self.accepted:
            spec = self.rules.specs[id]
            if spec["cut"] != "standing" or id in self.cancel_requested:
                continue
            for number in range(spec["rows"]):
                task = f"{id}/{number}"
                if task in self.rules.placements:
                    self.missing_since.pop(task, None)
                    continue
                since = max(calm_since, self.missing_since.setdefault(task, now))
                if now - since > limit:
                    self.violations.append(f"down {task}")

    def _could_start(self, id: str, world: World, used: dict[str, float]) -> bool:
        spec: dict[str, Any] = self.rules.specs[id]
        placed = {t for t in self.rules.placements if job_of(t) == id}
        if self._done(id) + len(placed) >= spec["rows"]:
            return False
        gang = spec["cut"] == "gang"
        if gang and placed:
            return False
        limit = self.rules.limits.get(spec["crew"], 0.0)
        at_once = spec["rows"] if gang else 1
        if limit and used.get(spec["crew"], 0.0) + at_once * spec["vcpus"] > limit + CPU_TOLERANCE:
            return False
        free_slots = self._free_slots(spec, world, placed)
        if spec["oneZone"]:
            return max(free_slots.values(), default=0) >= at_once
        return sum(free_slots.values()) >= at_once

    def _free_slots(self, spec: dict[str, Any], world: World, placed: set[str]) -> dict[str, int]:
        """Return by zone how many more tasks of a job the machines could take."""
        zones = {self.rules.placements[task].zone for task in placed}
        free_slots: dict[str, int] = {}
        for agent in world.agents.values():
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
            most = (spec["rows"] + 1) // 2
            for zone in free_slots:
                here = sum(1 for task in placed if self.rules.placements[task].zone == zone)
                free_slots[zone] = min(free_slots[zone], most - here)
        return free_slots

    def check(self) -> None:
        self.rules.check()
        assert not self.rules.violations, self.rules.violations
        assert not self.violations, self.violations
