"""Gangs, and other jobs that stay whole, in a part: kept room, started at once, given back."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

import trio

from ..store import StoreDown
from .capacity import (
    covered,
    fits,
    times,
    whole,
)
from .component import SchedulerComponent
from .gang_planning import goes_on
from .holdings import Holding, PartWork
from .job_records import TaskRange, merge
from .jobs import Job
from .machines import Machine, Need, need_of

if TYPE_CHECKING:
    pass

log = logging.getLogger("gangs")

# Pieces that a job's record may fall into: it has to fit into one value of the store.
RANGES = 40


class Opening(NamedTuple):
    """When a machine has room for its n-th task of a job."""

    eta: float  # seconds from now
    name: str
    n: int
    machine: Machine


class Gangs(SchedulerComponent):
    """Jobs that stay whole, in a part: kept room, started at once, given back."""

    def start(self, work: PartWork, part: int) -> None:
        """Place the gangs of a part that find all their room now."""
        if not work.gangs:
            return
        now = trio.current_time()
        rows = []
        for id, holding in work.gangs.items():
            job = holding.job
            if holding.placed or not self.split.parts.ready(work, id, holding, now):
                continue
            if job.finished.count or job.local:
                # One done means all done: what was lost with its machine has its result
                # kept, and ends as soon as it is started again.
                pass
            elif job.record.attempt:
                if holding.tried == job.record.attempt or not covered(job):
                    continue
            elif holding.pool.count < job.spec.tasks - job.finished.count - len(job.local):
                continue
            rows.append((*self.split.order.key(holding, self.split.stretches[-1]), id))
        for _, _, _, id in sorted(rows):
            holding = work.holdings[id]
            plan = self._machines(holding, part, now)
            if plan is None:
                work.ready.discard(id)
                continue
            job = holding.job
            shared = job.record.attempt
            if job.finished.count or job.local:
                shared = 0
            if shared and not self._all_ready(work, holding, plan, now):
                continue
            attempt = shared or self.split.placing.attempt(part)
            holding.tried = attempt
            for machine in plan:
                self.split.placing.place(holding, holding.pool.pop(), machine, attempt)
                if machine.reserved and machine.reserved[0] == id:
                    machine.reserved = None
            holding.aged = False

    def _all_ready(self, work: PartWork, holding: Holding, plan: list[Machine], now: float) -> bool:
        """Whether every part of a gang has its room; ours is kept until then.

        Started part by part, a gang would occupy machines while the rest of it waits
        for room, and end as incomplete. A part that isn't heard of late can't tell.
        """
        id, part = holding.job.id, holding.part
        work.ready.add(id)
        fresh = now - self.policy.heartbeat_interval * 4
        for other in {p for _, _, p in holding.job.record.ranges if p != part}:
            theirs = self.split.parts.work.get(other)
            if theirs is not None:
                ready = id in theirs.ready
            elif (
                self.split.statuses.received_at.get(other, -1e9) < fresh
                or other not in self.split.statuses.newest
            ):
                ready = True
            else:
                ready = id in self.split.statuses.newest[other].ready
            if not ready:
                for machine in plan:
                    machine.reserved = (id, now + self.policy.heartbeat_interval * 4)
                return False
        return True

    def _machines(self, holding: Holding, part: int, now: float) -> list[Machine] | None:
        """A machine for every task at once, in one zone where that is asked; or None."""
        job = holding.job
        spec = job.spec
        need = need_of(spec)
        wanted = holding.pool.count
        if self.split.teams.tasks_within_limit(part, spec) < wanted:
            return None
        machines = []
        for machine in self.workers.of_part(part):
            if not machine.usable or machine.resting_until >= now:
                continue
            if machine.reserved and machine.reserved[0] != job.id and machine.reserved[1] >= now:
                continue
            if fits(need, machine.free()) and self.split.parts.machine_ok(holding, machine):
                machines.append((machine, times(need, machine.free())))
        # The least other use first: a machine with cards is left for work that needs them.
        machines.sort(
            key=lambda mc: (
                not (mc[0].reserved and mc[0].reserved[0] == job.id),
                mc[0].errors,
                self._waste(need, mc[0]),
                spec.image not in mc[0].images,
                mc[0].slow,
            )
        )
        caps = {zone: cap for p, zone, cap in job.record.caps if p == part}
        limit = (spec.tasks + 1) // 2 if spec.spread and spec.tasks > 1 else wanted
        plan: list[Machine] = []
        zones: dict[str, int] = {}
        for machine, count in machines:
            most = caps.get(machine.zone, 0) if job.record.caps else limit
            for _ in range(count):
                if len(plan) == wanted or zones.get(machine.zone, 0) >= most:
                    break
                zones[machine.zone] = zones.get(machine.zone, 0) + 1
                plan.append(machine)
        return plan if len(plan) == wanted else None

    def _waste(self, need: Need, machine: Machine) -> float:
        """What the task would leave unused that others may need: cards most of all."""
        kind = machine.kind
        assert kind is not None
        price = (kind.spot_price or kind.price) if machine.spot else kind.price
        return price * (1.0 if kind.gpus and not need[1] else 0.0)

    def reserve(self, part: int) -> None:
        """Keep the machines that soonest have room free for a gang that waits.

        Arrays take room task by task as it frees up; a gang of equal rank would wait
        until they run dry. One gang at a time, unless one machine holds it whole, and
        none whose room is far off: machines that drain bring nothing meanwhile.
        """
        work = self.split.parts.work[part]
        now = trio.current_time()
        machines = [m for m in self.workers.of_part(part) if m.usable and m.resting_until < now]
        kept = {m.reserved[0] for m in machines if m.reserved and m.reserved[1] >= now}
        held = [h for id in kept if (h := work.holdings.get(id)) is not None]
        wide = any(h.gang and h.spec.tasks > 1 for h in held)
        large = any(not h.gang and h.aged for h in held)
        # Also for a task so large that small ones always take what frees up first.
        waiting = [(h.release, id, h) for id, h in work.holdings.items() if h.gang or h.aged]
        for _, id, holding in sorted(waiting, key=lambda r: r[:2]):
            if id in kept or not self._may_reserve(work, holding, now):
                continue
            wanted = holding.pool.count if holding.gang else 1
            if wanted > 1 and (wide or not self.split.order.late(holding.job)):
                continue
            if not holding.gang and (
                large or not self.split.teams.tasks_within_limit(part, holding.spec)
            ):
                continue  # in a flood beyond the limit every array has waited long
            chosen = self._soonest(holding, machines, wanted, now)
            if not chosen or chosen[-1].eta <= 0:
                continue
            eta = chosen[-1].eta
            if wanted > 1:
                if eta > self.policy.start_within / 8:
                    continue
                if self.split.teams.tasks_within_limit(part, holding.spec) < wanted:
                    continue  # its team's limit is what it waits for
                wide = True
            large = large or not holding.gang
            names = {opening.machine.name: opening.machine for opening in chosen}
            for machine in names.values():
                machine.reserved = (id, now + eta * 1.5 + self.report_s * 3)
            log.info("kept machines=%d for=%s eta=%.1f", len(names), id, eta)

    def _may_reserve(self, work: PartWork, holding: Holding, now: float) -> bool:
        """Whether room may be kept for a job: it waits, and has done so for a report."""
        attempt = holding.job.record.attempt
        if holding.placed or (attempt and holding.tried == attempt):
            return False
        if now - holding.since < self.report_s:
            return False
        return self.split.parts.ready(work, holding.job.id, holding, now)

    def _soonest(
        self, holding: Holding, machines: list[Machine], wanted: int, now: float
    ) -> list[Opening]:
        """Where that many tasks find room soonest; nothing if there is none for all."""
        a, b, c = holding.need
        openings = []
        for machine in machines:
            if machine.reserved and machine.reserved[1] >= now:
                continue
            if not self.split.parts.machine_ok(holding, machine):
                continue
            for n in range(1, wanted + 1):
                eta = self._room_at(machine, (a * n, b * n, c * n), now)
                if eta is None:
                    break
                openings.append(Opening(eta, machine.name, n, machine))
        chosen = sorted(openings, key=lambda opening: opening[:3])[:wanted]
        return chosen if len(chosen) == wanted else []

    def _room_at(self, machine: Machine, need: Need, now: float) -> float | None:
        """Seconds until a machine has room for a need if nothing more starts there."""
        room = machine.free()
        if fits(need, room):
            return 0.0
        ends = []
        for placement in machine.placements.values():
            if placement.spec.is_service:
                continue  # it never leaves by itself
            ran = now - (placement.run_at or now)
            ends.append((max(1.0, self.split.estimates.task(placement.spec) - ran), placement.need))
        for end, (a, b, c) in sorted(ends):
            room = (room[0] + a, room[1] + b, room[2] + c)
            if fits(need, room):
                return end
        return None

    def kept_for(self, part: int, id: str) -> bool:
        """Whether a machine of the part is kept free for the job."""
        now = trio.current_time()
        return any(
            m.reserved and m.reserved[0] == id and m.reserved[1] >= now
            for m in self.workers.of_part(part)
        )

    async def give_back(self) -> None:
        """Whole jobs that can't start here go back to the leader, for a fresh look."""
        for part, work in list(self.split.parts.work.items()):
            token = self.members.token(part)
            if not work.settled or token is None:
                continue
            for holding in list(work.holdings.values()):
                job = holding.job
                if not job.open or not whole(job.spec) or holding.moving:
                    continue
                if holding.placed:
                    self._stop_if_incomplete(holding)
                elif self._alone(holding) and self._gives_up(work, holding):
                    await self._give_back(work, holding, token)

    @staticmethod
    def _alone(holding: Holding) -> bool:
        """Whether it has tasks that wait, and isn't a service that runs in other parts too."""
        if holding.service and len(holding.job.record.ranges) > 1:
            return False  # what it lacks moves alone, see `service_moves`
        return holding.pool.count > 0

    def _stop_if_incomplete(self, holding: Holding) -> None:
        """Stop the tasks of an attempt that another part has given up."""
        job = holding.job
        begun = bool(job.finished.count or job.local)
        if job.record.attempt and not covered(job) and not begun:
            for placement in list(holding.placed.values()):
                self.workers.stop(placement, job.spec.save)

    def _gives_up(self, work: PartWork, holding: Holding) -> bool:
        """Whether a job has waited here in vain, or its attempt has failed."""
        job = holding.job
        begun = bool(job.finished.count or job.local)
        attempt = job.record.attempt
        if not begun and attempt and (holding.tried == attempt or not covered(job)):
            return True
        patience = self.settings.deployment.workers.gang_wait_s / 2
        if self.kept_for(holding.part, job.id):
            patience *= 4
        elif (
            holding.gang
            and not begun
            and not self.split.order.late(job)
            and job.id not in work.ready
            and self.split.teams.limit_left(job.spec) >= job.spec.tasks
        ):
            # What it was planned on went to others: look elsewhere at once.
            patience = self.report_s * 2
        return trio.current_time() - holding.since >= patience

    def _without(self, job: Job, part: int) -> list[TaskRange] | None:
        """A job's ranges once a part has given its rest back; None if that must wait."""
        # What is done stays with the part that did it.
        rest = merge(
            (a, b, p)
            for first, end, p in job.record.ranges
            for a, b in (
                [(first, end)]
                if p != part
                else [(t, t + 1) for t in range(first, end) if job.is_finished(t)]
            )
        )
        if len(rest) <= RANGES:
            return rest
        # Too many pieces for a record: all of it goes, once what is done is durable.
        if job.local:
            return None
        return [r for r in job.record.ranges if r.part != part]

    async def _give_back(self, work: PartWork, holding: Holding, token: int) -> None:
        job, part = holding.job, holding.part
        rest = self._without(job, part)
        if rest is None:
            return
        holding.since = trio.current_time()
        holding.moving = True
        version = job.version
        work.ready.discard(job.id)
        try:
            await self.split.write_ranges(
                job,
                {f"pt/parts/{part}": token},
                rest,
                zone=job.record.zone if goes_on(job, rest) else None,
            )
        except StoreDown as error:
            await self.split.settle_job(error, job, version, part, token)
        finally:
            holding.moving = False
            if job.open:
                self.split.parts.hold(job, part)
                holding.rebuild()
