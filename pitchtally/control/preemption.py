"""Stopping work that yields: lower ranks, and teams beyond their guarantee."""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

import trio

from .. import wire
from .capacity import (
    fits,
    is_gang,
)
from .component import SchedulerComponent
from .holdings import Holding, PartWork
from .machines import Machine, Placement

log = logging.getLogger("preemption")


class Step(NamedTuple):
    """Room for one more task on a machine, and whom it takes to stop for it."""

    cost: float
    name: str
    machine: Machine
    victims: list[Placement]


# Jobs that may preempt in one round: the rest is looked at in the next.
_PREEMPT = 8


class Preemption(SchedulerComponent):
    """Stopping work that yields: lower ranks, and teams beyond their guarantee."""

    def preempt(self, part: int) -> None:
        """Make room for waiting work of higher rank, or for a team below its guarantee."""
        work = self.split.parts.work[part]
        now = trio.current_time()
        rows = []
        beyond = [t for t in self.split.teams.known if self.split.teams.over_guarantee(t)]
        for id, holding in work.holdings.items():
            if not self._may_preempt(work, holding, now):
                continue
            spec = holding.spec
            under = self.split.teams.under(spec)
            if not sum(work.running[holding.rank + 1 :]) and not (
                under and any(team != spec.team for team in beyond)
            ):
                continue  # nothing here yields to it
            at_once = spec.tasks if holding.gang else 1
            if self.split.teams.tasks_within_limit(part, spec) < at_once:
                continue
            due = self.split.order.due_of(holding, self.split.stretches[-1])
            rows.append((holding.rank, not under, due, id))
        for _, over, _, id in sorted(rows)[:_PREEMPT]:
            if self.split.gangs.kept_for(part, id):
                continue
            holding = work.holdings[id]
            chosen = self._choose(holding, self._steps(holding, part, holding.rank, not over, now))
            if any(step.victims for step in chosen):
                self._stop_for(work, holding, chosen, now)

    def _may_preempt(self, work: PartWork, holding: Holding, now: float) -> bool:
        """Whether a job waits in vain, and for long enough."""
        if not holding.pool.count:
            return False
        if not self.split.parts.ready(work, holding.job.id, holding, now):
            return False
        if holding.service:
            return True  # free room is counted first, see `_choose`
        if not holding.gang:
            return now - holding.since >= self.policy.preempt_after
        attempt = holding.job.record.attempt
        return not (holding.placed or (attempt and holding.tried == attempt))

    @staticmethod
    def _choose(holding: Holding, steps: list[Step]) -> list[Step]:
        """The cheapest steps that serve the job; none for a gang that would stay too small."""
        wanted = holding.pool.count
        chosen: list[Step] = []
        zones: dict[str, int] = {}
        caps = {zone: cap for p, zone, cap in holding.job.record.caps if p == holding.part}
        if holding.spec.spread and not holding.gang and holding.spec.tasks > 1:
            # Room in a zone that has its half of the tasks already would be made in vain.
            for zone in {step.machine.zone for step in steps}:
                caps[zone] = holding.most_in_zone(zone) - holding.placed_in(zone)
        if not holding.gang:
            # Where room is free already the next report starts them.
            for zone, free in Counter(s.machine.zone for s in steps if not s.victims).items():
                zones[zone] = max(0, min(free, caps.get(zone, free)))
            wanted -= sum(zones.values())
        for step in steps:
            zone = step.machine.zone
            if len(chosen) >= wanted or zones.get(zone, 0) >= caps.get(zone, math.inf):
                continue
            if not holding.gang and not step.victims:
                continue
            zones[zone] = zones.get(zone, 0) + 1
            chosen.append(step)
        if holding.gang and len(chosen) < wanted:
            return []  # stopping some would gain nothing
        return chosen

    def _stop_for(self, work: PartWork, holding: Holding, chosen: list[Step], now: float) -> None:
        """Stop what yields, and keep the room for the job until it starts."""
        victims = [victim for step in chosen for victim in step.victims]
        for victim in victims:
            for each in self.with_gang(work, victim):
                self.workers.stop(each, each.spec.save)
        grace = max(victim.spec.save for victim in victims)
        id = holding.job.id
        for step in chosen:
            step.machine.reserved = (id, now + grace + self.report_s * 3)
        log.info(
            "preempted for=%s machines=%d tasks=%d",
            id,
            len({step.machine.name for step in chosen}),
            len(victims),
        )

    def _steps(self, holding: Holding, part: int, rank: int, under: bool, now: float) -> list[Step]:
        """What makes room for one more task each, cheapest first; nothing where it is free."""
        need = holding.need
        out = []
        wanted = holding.pool.count
        for machine in self.workers.of_part(part):
            if not machine.usable or machine.resting_until >= now:
                continue
            if (
                machine.reserved
                and machine.reserved[0] != holding.job.id
                and (machine.reserved[1] >= now)
            ):
                continue
            room: tuple[float, float, float] = machine.free()
            if not under:
                a, b, c = machine.yields(rank)
                if not fits(need, (room[0] + a, room[1] + b, room[2] + c)):
                    continue
            if not self.split.parts.machine_ok(holding, machine):
                continue
            candidates = []
            for placement in machine.placements.values():
                if placement.grace is not None or placement.job.id == holding.job.id:
                    continue
                if self._shared(placement):
                    continue
                spec = placement.spec
                lower = placement.rank > rank
                if not lower and (
                    # One gang for another of equal rank would gain nothing.
                    is_gang(placement)
                    or not (under and self.split.teams.beyond(spec, holding.spec.team))
                ):
                    continue
                candidates.append((self._loss(placement, now), placement.key, placement))
            candidates.sort(key=lambda c: c[:2], reverse=True)
            cost = 0.0
            for _ in range(wanted):
                victims = []
                while candidates and not fits(need, room):
                    loss, _, placement = candidates.pop()
                    a, b, c = placement.need
                    room = (room[0] + a, room[1] + b, room[2] + c)
                    cost += loss
                    victims.append(placement)
                if not fits(need, room):
                    break
                room = (room[0] - need[0], room[1] - need[1], room[2] - need[2])
                out.append(Step(cost, machine.name, machine, victims))
        return sorted(out, key=lambda step: step[:2])

    def _loss(self, placement: Placement, now: float) -> float:
        """Work lost by a stop, in task-seconds weighed by size."""
        if placement.run_at is None or not placement.seen:
            return 0.0
        spec = placement.spec
        ran = now - placement.run_at
        if spec.checkpoint:
            ran = min(ran, spec.save)
        mates = spec.tasks if spec.kind == wire.GANG else 1  # they stop together
        return ran * max(placement.need[0], 0.1) * mates + 0.1

    def _shared(self, placement: Placement) -> bool:
        """A gang over several parts can't be stopped in order from here."""
        return placement.job.record.attempt != 0

    def with_gang(self, work: PartWork, victim: Placement) -> Iterable[Placement]:
        """What has to stop with a placement: its whole gang, if it has one."""
        holding = work.holdings.get(victim.job.id)
        if victim.spec.kind == wire.GANG and holding is not None:
            return list(holding.placed.values())
        return [victim]
