"""Stopping work that yields: lower ranks, and teams beyond their guarantee."""

from __future__ import annotations

import logging
import math
from collections import Counter
from typing import NamedTuple

import trio

from ...agents.machine import Machine, Placement, Reservation
from ...jobs.resources import fits
from ...protocol import user_api
from ..capacity import is_gang
from ..context import SchedulingContext
from ..gangs.reservations import is_reserved_for
from ..quotas.quotas import Quotas
from ..shards.allocations import ShardAllocation, ShardState
from ..shards.deadlines import Deadlines
from ..shards.eligibility import is_ready, machine_ok

log = logging.getLogger(__name__)


class Step(NamedTuple):
    """Room for one more task on a machine, and whom it takes to stop for it."""

    cost: float
    name: str
    machine: Machine
    victims: list[Placement]


# Jobs that may preempt in one round: the rest is looked at in the next.
_PREEMPT = 8


class Preemption:
    """Stopping work that yields: lower ranks, and teams beyond their guarantee."""

    def __init__(
        self,
        context: SchedulingContext,
        shards: dict[int, ShardState],
        deadlines: Deadlines,
        quotas: Quotas,
    ) -> None:
        self.policy = context.policy
        self.agents = context.agents
        self.samples = context.samples
        self.agent_heartbeat_s = context.agent_heartbeat_s
        self.shards = shards
        self.deadlines = deadlines
        self.quotas = quotas

    def preempt(self, shard: int) -> None:
        """Make room for waiting work of higher rank, or for a team below its guarantee."""
        work = self.shards[shard]
        now = trio.current_time()
        rows = []
        beyond = [t for t in self.quotas.known if self.quotas.over_guarantee(t)]
        for id, allocation in work.allocations.items():
            if not self._may_preempt(work, allocation, now):
                continue
            spec = allocation.spec
            under = self.quotas.under(spec)
            if not sum(work.running[allocation.rank + 1 :]) and not (
                under and any(team != spec.team for team in beyond)
            ):
                continue  # nothing here yields to it
            at_once = spec.tasks if allocation.gang else 1
            if self.quotas.tasks_within_limit(shard, spec) < at_once:
                continue
            due = self.deadlines.due_of(allocation, self.samples.stretches[-1])
            rows.append((allocation.rank, not under, due, id))
        for _, over, _, id in sorted(rows)[:_PREEMPT]:
            if is_reserved_for(self.agents.of_shard(shard), id):
                continue
            allocation = work.allocations[id]
            chosen = self._choose(
                allocation, self._steps(allocation, shard, allocation.rank, not over, now)
            )
            if any(step.victims for step in chosen):
                self._stop_for(work, allocation, chosen, now)

    def _may_preempt(self, work: ShardState, allocation: ShardAllocation, now: float) -> bool:
        """Whether a job waits in vain, and for long enough."""
        if not allocation.pending.count:
            return False
        if not is_ready(work, allocation.job.id, allocation, now):
            return False
        if allocation.service:
            return True  # free room is counted first, see `_choose`
        if not allocation.gang:
            return now - allocation.since >= self.policy.preempt_after
        attempt = allocation.job.record.attempt
        return not (allocation.placed or (attempt and allocation.tried == attempt))

    @staticmethod
    def _choose(allocation: ShardAllocation, steps: list[Step]) -> list[Step]:
        """The cheapest steps that serve the job; none for a gang that would stay too small."""
        wanted = allocation.pending.count
        chosen: list[Step] = []
        zones: dict[str, int] = {}
        caps = {zone: cap for p, zone, cap in allocation.job.record.caps if p == allocation.shard}
        if allocation.spec.spread and not allocation.gang and allocation.spec.tasks > 1:
            # Room in a zone that has its half of the tasks already would be made in vain.
            for zone in {step.machine.zone for step in steps}:
                caps[zone] = allocation.most_in_zone(zone) - allocation.placed_in(zone)
        if not allocation.gang:
            # Where room is free already the next report starts them.
            for zone, free in Counter(s.machine.zone for s in steps if not s.victims).items():
                zones[zone] = max(0, min(free, caps.get(zone, free)))
            wanted -= sum(zones.values())
        for step in steps:
            zone = step.machine.zone
            if len(chosen) >= wanted or zones.get(zone, 0) >= caps.get(zone, math.inf):
                continue
            if not allocation.gang and not step.victims:
                continue
            zones[zone] = zones.get(zone, 0) + 1
            chosen.append(step)
        if allocation.gang and len(chosen) < wanted:
            return []  # stopping some would gain nothing
        return chosen

    def _stop_for(
        self, work: ShardState, allocation: ShardAllocation, chosen: list[Step], now: float
    ) -> None:
        """Stop what yields, and keep the room for the job until it starts."""
        victims = [victim for step in chosen for victim in step.victims]
        for victim in victims:
            for each in work.with_gang(victim):
                self.agents.stop(each, each.spec.save)
        grace = max(victim.spec.save for victim in victims)
        id = allocation.job.id
        for step in chosen:
            step.machine.reservation = Reservation(id, now + grace + self.agent_heartbeat_s * 3)
        log.info(
            "preempted for=%s machines=%d tasks=%d",
            id,
            len({step.machine.name for step in chosen}),
            len(victims),
        )

    def _steps(
        self, allocation: ShardAllocation, shard: int, rank: int, under: bool, now: float
    ) -> list[Step]:
        """What makes room for one more task each, cheapest first; nothing where it is free."""
        resources = allocation.resources
        out = []
        wanted = allocation.pending.count
        for machine in self.agents.of_shard(shard):
            if not machine.schedulable or machine.quarantined_until >= now:
                continue
            if (
                machine.reservation
                and machine.reservation.job_id != allocation.job.id
                and (machine.reservation.until >= now)
            ):
                continue
            available = machine.available()
            if not under:
                if not fits(resources, available.plus(machine.preemptible(rank))):
                    continue
            if not machine_ok(allocation, machine, self.policy.unhealthy_rest):
                continue
            candidates = []
            for placement in machine.placements.values():
                if placement.stop_grace is not None or placement.job.id == allocation.job.id:
                    continue
                if self._shared(placement):
                    continue
                spec = placement.spec
                lower = placement.rank > rank
                if not lower and (
                    # One gang for another of equal rank would gain nothing.
                    is_gang(placement)
                    or not (under and self.quotas.beyond(spec, allocation.spec.team))
                ):
                    continue
                candidates.append((self._loss(placement, now), placement.key, placement))
            candidates.sort(key=lambda c: c[:2], reverse=True)
            cost = 0.0
            for _ in range(wanted):
                victims = []
                while candidates and not fits(resources, available):
                    loss, _, placement = candidates.pop()
                    available = available.plus(placement.resources)
                    cost += loss
                    victims.append(placement)
                if not fits(resources, available):
                    break
                available = available.minus(resources)
                out.append(Step(cost, machine.name, machine, victims))
        return sorted(out, key=lambda step: step[:2])

    def _loss(self, placement: Placement, now: float) -> float:
        """Work lost by a stop, in task-seconds weighed by size."""
        if placement.running_since is None or not placement.observed:
            return 0.0
        spec = placement.spec
        ran = now - placement.running_since
        if spec.checkpoint:
            ran = min(ran, spec.save)
        mates = spec.tasks if spec.kind == user_api.GANG else 1  # they stop together
        return ran * max(placement.resources[0], 0.1) * mates + 0.1

    def _shared(self, placement: Placement) -> bool:
        """A gang over several shards can't be stopped in order from here."""
        return placement.job.record.attempt != 0
