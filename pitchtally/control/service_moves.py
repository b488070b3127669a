"""Replicas that find no room in their part, moved to a part that has some.

An array's other tasks end some day, and what is left of it then goes elsewhere as a whole.
A service's never end, so what it lacks has to move alone. A spread service keeps to its
zones' shares over several parts by caps in its record: the part that gives replicas away
keeps no more places in a zone than it has taken, and the other gets what that leaves.
"""

from __future__ import annotations

import logging
from collections import Counter
from typing import NamedTuple

import trio

from ..store import StoreDown
from .capacity import CapacitySource, plan_gang, whole
from .component import SchedulerComponent
from .holdings import Holding, PartWork, most_in_zone
from .jobs import Job

log = logging.getLogger("services")

# Report intervals that a replica waits for room in its own part.
PATIENCE_REPORTS = 2
# Of `start_within`: a service that fits nowhere as it stands starts anew elsewhere.
LEAVE_SHARE = 1 / 6

ZoneCounts = dict[str, int]


class Move(NamedTuple):
    """Where missing replicas go: a part, and how many of them into which zone."""

    part: int
    zones: ZoneCounts


class ServiceMoves(SchedulerComponent):
    """Moves replicas of services that must stay whole, or starts those anew elsewhere."""

    async def move(self) -> None:
        """Look at every such service of our parts that lacks replicas."""
        for part, work in list(self.split.parts.work.items()):
            token = self.members.token(part)
            if not work.settled or token is None:
                continue
            for holding in list(work.holdings.values()):
                if self._lacks_room(work, holding):
                    await self._move_or_leave(holding, token)

    def _lacks_room(self, work: PartWork, holding: Holding) -> bool:
        now = trio.current_time()
        if not holding.service or not whole(holding.spec) or holding.faulty:
            return False
        if not self.split.parts.ready(work, holding.job.id, holding, now):
            return False
        if not holding.placed and len(holding.job.record.ranges) == 1:
            return False  # nothing of it runs: it goes back to the leader
        if now - holding.since < self.report_s * PATIENCE_REPORTS:
            return False
        if not self.split.teams.tasks_within_limit(holding.part, holding.spec):
            return False  # it waits for its team's limit, wherever it is
        return self._find(holding, [holding.part], capped=True) is None

    async def _move_or_leave(self, holding: Holding, token: int) -> None:
        others = [part for part in self.split.statuses.newest if part != holding.part]
        # Our own part again, if only its caps keep it from using what zones leave.
        found = self._find(holding, [holding.part, *others])
        if found is not None:
            await self._move(holding, found, token)
        elif trio.current_time() - holding.since >= self.policy.start_within * LEAVE_SHARE:
            self._leave(holding, others)

    def _find(self, holding: Holding, parts: list[int], *, capped: bool = False) -> Move | None:
        """The first of these parts with room for all missing replicas, by preemption too.

        `capped`: as the record's caps have it, not as they might.
        """
        spec, missing = holding.spec, holding.pool.count
        zone = holding.job.record.zone if holding.one_zone else None
        for source in (CapacitySource.FREE, CapacitySource.YIELDING):
            rooms = self.split.gang_planning.free_capacity(spec, source)
            for part in parts:
                left = self._zone_limits(holding, capped=capped)
                here = {
                    (p, z): min(room, left.get(z, missing))
                    for (p, z), room in rooms.items()
                    if p == part and zone in (None, z)
                }
                found = plan_gang(here, missing, one_zone=False, spread=False)
                if found is not None:
                    return Move(part, {z: count for (_, z), count in found.items()})
        return None

    def _placed(self, holding: Holding) -> ZoneCounts:
        return {zone: holding.placed_in(zone) for zone in self.settings.deployment.zones}

    def _zone_limits(self, holding: Holding, *, capped: bool) -> ZoneCounts:
        """How many more replicas of a spread service may be in each zone; empty: any number."""
        if not holding.spec.spread or holding.spec.tasks == 1:
            return {}
        placed = self._placed(holding)
        if capped:
            return {zone: holding.most_in_zone(zone) - n for zone, n in placed.items()}
        return zone_limits(holding.job, placed, holding.part)

    async def _move(self, holding: Holding, move: Move, token: int) -> None:
        caps = None
        if holding.spec.spread:
            caps = moved_caps(holding.job, self._placed(holding), holding.part, move)
        log.info(
            "replicas move job=%s from=%d to=%d count=%d",
            holding.job.id,
            holding.part,
            move.part,
            holding.pool.count,
        )
        try:
            await self.split.rebalancing.give(holding, move.part, holding.pool.count, caps)
        except StoreDown as error:
            log.debug("replicas not moved: %s", error)

    def _leave(self, holding: Holding, others: list[int]) -> None:
        """Stop a service that can't be whole as it stands, so that it starts whole elsewhere."""
        if len({r.part for r in holding.job.record.ranges}) > 1:
            return  # the others' replicas aren't ours to stop
        if self.split.gang_planning.plan_service(holding.spec, others) is None:
            return
        log.info("service leaves job=%s part=%d", holding.job.id, holding.part)
        holding.not_before = trio.current_time() + self.settings.deployment.workers.lease_s
        for placement in list(holding.placed.values()):
            self.workers.stop(placement, 0.0)


def zone_limits(job: Job, placed: ZoneCounts, part: int) -> ZoneCounts:
    """How many more replicas may be in each zone, other parts' caps and our places counted."""
    taken: Counter[str] = Counter(placed)
    for other, zone, cap in job.record.caps:
        if other != part:
            taken[zone] += cap
    most = most_in_zone(job.spec)
    return {zone: max(0, most - taken[zone]) for zone in placed}


def moved_caps(job: Job, placed: ZoneCounts, part: int, move: Move) -> list[tuple[int, str, int]]:
    """The caps after a move: ours at what we have placed, the other part's raised by the move.

    Ours fall by what we gave up and no part gets more than that leaves, so a zone's caps
    never add up to more than its share.
    """
    caps: Counter[tuple[int, str]] = Counter()
    for other, zone, cap in job.record.caps:
        if other != part:
            caps[(other, zone)] += cap
    for zone, count in placed.items():
        caps[(part, zone)] = count
    for zone, count in move.zones.items():
        caps[(move.part, zone)] += count
    return [(other, zone, cap) for (other, zone), cap in sorted(caps.items()) if cap]
