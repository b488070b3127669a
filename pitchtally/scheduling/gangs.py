"""Gangs, and other jobs that stay whole, in a shard: kept room, started at once, given back."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

import trio

from ..agents.machine import Machine, Reservation
from ..jobs.index import Job
from ..jobs.job_record import TaskRange, merge
from ..jobs.resources import Resources, count_fitting, fits, resource_request
from ..state_store import keys
from ..state_store.errors import StoreUnavailable
from .allocations import ShardAllocation, ShardState
from .capacity import is_fully_assigned, stays_in_one_shard
from .component import SchedulerComponent
from .gang_planner import goes_on

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
    """Jobs that stay whole, in a shard: kept room, started at once, given back."""

    def start(self, work: ShardState, shard: int) -> None:
        """Place the gangs of a shard that find all their room now."""
        if not work.gangs:
            return
        now = trio.current_time()
        rows = []
        for id, allocation in work.gangs.items():
            job = allocation.job
            if allocation.placed or not self.scheduler.shards.ready(work, id, allocation, now):
                continue
            if job.finished.count or job.local:
                # One done means all done: what was lost with its machine has its result
                # kept, and ends as soon as it is started again.
                pass
            elif job.record.attempt:
                if allocation.tried == job.record.attempt or not is_fully_assigned(job):
                    continue
            elif allocation.pending.count < job.spec.tasks - job.finished.count - len(job.local):
                continue
            rows.append(
                (*self.scheduler.priorities.key(allocation, self.scheduler.stretches[-1]), id)
            )
        for _, _, _, id in sorted(rows):
            allocation = work.allocations[id]
            plan = self._machines(allocation, shard, now)
            if plan is None:
                work.ready.discard(id)
                continue
            job = allocation.job
            shared = job.record.attempt
            if job.finished.count or job.local:
                shared = 0
            if shared and not self._all_ready(work, allocation, plan, now):
                continue
            attempt = shared or self.scheduler.placer.attempt(shard)
            allocation.tried = attempt
            for machine in plan:
                self.scheduler.placer.place(allocation, allocation.pending.pop(), machine, attempt)
                if machine.reservation and machine.reservation.job_id == id:
                    machine.reservation = None
            allocation.aged = False

    def _all_ready(
        self, work: ShardState, allocation: ShardAllocation, plan: list[Machine], now: float
    ) -> bool:
        """Whether every part of a gang has its room; ours is kept until then.

        Started part by shard, a gang would occupy machines while the rest of it waits
        for room, and end as incomplete. A part that isn't heard of late can't tell.
        """
        id, shard = allocation.job.id, allocation.shard
        work.ready.add(id)
        fresh = now - self.policy.heartbeat_interval * 4
        for other in {p for _, _, p in allocation.job.record.ranges if p != shard}:
            theirs = self.scheduler.shards.work.get(other)
            if theirs is not None:
                ready = id in theirs.ready
            elif (
                self.scheduler.statuses.received_at.get(other, -1e9) < fresh
                or other not in self.scheduler.statuses.newest
            ):
                ready = True
            else:
                ready = id in self.scheduler.statuses.newest[other].ready
            if not ready:
                for machine in plan:
                    machine.reservation = Reservation(id, now + self.policy.heartbeat_interval * 4)
                return False
        return True

    def _machines(
        self, allocation: ShardAllocation, shard: int, now: float
    ) -> list[Machine] | None:
        """A machine for every task at once, in one zone where that is asked; or None."""
        job = allocation.job
        spec = job.spec
        resources = resource_request(spec)
        wanted = allocation.pending.count
        if self.scheduler.quotas.tasks_within_limit(shard, spec) < wanted:
            return None
        machines = []
        for machine in self.agents.of_shard(shard):
            if not machine.schedulable or machine.quarantined_until >= now:
                continue
            if (
                machine.reservation
                and machine.reservation.job_id != job.id
                and machine.reservation.until >= now
            ):
                continue
            if fits(resources, machine.available()) and self.scheduler.shards.machine_ok(
                allocation, machine
            ):
                machines.append((machine, count_fitting(resources, machine.available())))
        # The least other use first: a machine with cards is left for work that needs them.
        machines.sort(
            key=lambda mc: (
                not (mc[0].reservation and mc[0].reservation.job_id == job.id),
                mc[0].consecutive_errors,
                self._waste(resources, mc[0]),
                spec.image not in mc[0].cached_images,
            )
        )
        caps = {zone: cap for p, zone, cap in job.record.caps if p == shard}
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

    def _waste(self, resources: Resources, machine: Machine) -> float:
        """What the task would leave unused that others may need: cards most of all."""
        machine_type = machine.machine_type
        assert machine_type is not None
        price = (
            (machine_type.spot_price or machine_type.price) if machine.spot else machine_type.price
        )
        return price * (1.0 if machine_type.gpus and not resources[1] else 0.0)

    def reserve(self, shard: int) -> None:
        """Keep the machines that soonest have room free for a gang that waits.

        Arrays take room task by task as it frees up; a gang of equal rank would wait
        until they run dry. One gang at a time, unless one machine holds it whole, and
        none whose room is far off: machines that drain bring nothing meanwhile.
        """
        work = self.scheduler.shards.work[shard]
        now = trio.current_time()
        machines = [
            m for m in self.agents.of_shard(shard) if m.schedulable and m.quarantined_until < now
        ]
        kept = {
            m.reservation.job_id for m in machines if m.reservation and m.reservation.until >= now
        }
        held = [h for id in kept if (h := work.allocations.get(id)) is not None]
        wide = any(h.gang and h.spec.tasks > 1 for h in held)
        large = any(not h.gang and h.aged for h in held)
        # Also for a task so large that small ones always take what frees up first.
        waiting = [(h.release, id, h) for id, h in work.allocations.items() if h.gang or h.aged]
        for _, id, allocation in sorted(waiting, key=lambda r: r[:2]):
            if id in kept or not self._may_reserve(work, allocation, now):
                continue
            wanted = allocation.pending.count if allocation.gang else 1
            if wanted > 1 and (wide or not self.scheduler.priorities.late(allocation.job)):
                continue
            if not allocation.gang and (
                large or not self.scheduler.quotas.tasks_within_limit(shard, allocation.spec)
            ):
                continue  # in a flood beyond the limit every array has waited long
            chosen = self._soonest(allocation, machines, wanted, now)
            if not chosen or chosen[-1].eta <= 0:
                continue
            eta = chosen[-1].eta
            if wanted > 1:
                if eta > self.policy.start_within / 8:
                    continue
                if self.scheduler.quotas.tasks_within_limit(shard, allocation.spec) < wanted:
                    continue  # its team's limit is what it waits for
                wide = True
            large = large or not allocation.gang
            names = {opening.machine.name: opening.machine for opening in chosen}
            for machine in names.values():
                machine.reservation = Reservation(id, now + eta * 1.5 + self.report_s * 3)
            log.info("kept machines=%d for=%s eta=%.1f", len(names), id, eta)

    def _may_reserve(self, work: ShardState, allocation: ShardAllocation, now: float) -> bool:
        """Whether room may be kept for a job: it waits, and has done so for a report."""
        attempt = allocation.job.record.attempt
        if allocation.placed or (attempt and allocation.tried == attempt):
            return False
        if now - allocation.since < self.report_s:
            return False
        return self.scheduler.shards.ready(work, allocation.job.id, allocation, now)

    def _soonest(
        self, allocation: ShardAllocation, machines: list[Machine], wanted: int, now: float
    ) -> list[Opening]:
        """Where that many tasks find room soonest; nothing if there is none for all."""
        openings = []
        for machine in machines:
            if machine.reservation and machine.reservation.until >= now:
                continue
            if not self.scheduler.shards.machine_ok(allocation, machine):
                continue
            for n in range(1, wanted + 1):
                eta = self._room_at(machine, allocation.resources.times(n), now)
                if eta is None:
                    break
                openings.append(Opening(eta, machine.name, n, machine))
        chosen = sorted(openings, key=lambda opening: opening[:3])[:wanted]
        return chosen if len(chosen) == wanted else []

    def _room_at(self, machine: Machine, resources: Resources, now: float) -> float | None:
        """Seconds until a machine has room for a need if nothing more starts there."""
        available = machine.available()
        if fits(resources, available):
            return 0.0
        ends = []
        for placement in machine.placements.values():
            if placement.spec.is_service:
                continue  # it never leaves by itself
            ran = now - (placement.running_since or now)
            ends.append(
                (max(1.0, self.scheduler.estimates.task(placement.spec) - ran), placement.resources)
            )
        for end, resources_freed in sorted(ends):
            available = available.plus(resources_freed)
            if fits(resources, available):
                return end
        return None

    def kept_for(self, shard: int, id: str) -> bool:
        """Whether a machine of the shard is kept free for the job."""
        now = trio.current_time()
        return any(
            m.reservation and m.reservation.job_id == id and m.reservation.until >= now
            for m in self.agents.of_shard(shard)
        )

    async def give_back(self) -> None:
        """Whole jobs that can't start here go back to the leader, for a fresh look."""
        for shard, work in list(self.scheduler.shards.work.items()):
            token = self.membership.token(shard)
            if not work.reconciled or token is None:
                continue
            for allocation in list(work.allocations.values()):
                job = allocation.job
                if not job.open or not stays_in_one_shard(job.spec) or allocation.moving:
                    continue
                if allocation.placed:
                    self._stop_if_incomplete(allocation)
                elif self._alone(allocation) and self._gives_up(work, allocation):
                    await self._give_back(work, allocation, token)

    @staticmethod
    def _alone(allocation: ShardAllocation) -> bool:
        """Whether it has tasks that wait, and isn't a service that runs in other shards too."""
        if allocation.service and len(allocation.job.record.ranges) > 1:
            return False  # what it lacks moves alone, see `service_moves`
        return allocation.pending.count > 0

    def _stop_if_incomplete(self, allocation: ShardAllocation) -> None:
        """Stop the tasks of an attempt that another shard has given up."""
        job = allocation.job
        begun = bool(job.finished.count or job.local)
        if job.record.attempt and not is_fully_assigned(job) and not begun:
            for placement in list(allocation.placed.values()):
                self.agents.stop(placement, job.spec.save)

    def _gives_up(self, work: ShardState, allocation: ShardAllocation) -> bool:
        """Whether a job has waited here in vain, or its attempt has failed."""
        job = allocation.job
        begun = bool(job.finished.count or job.local)
        attempt = job.record.attempt
        if not begun and attempt and (allocation.tried == attempt or not is_fully_assigned(job)):
            return True
        patience = self.settings.deployment.workers.gang_wait_s / 2
        if self.kept_for(allocation.shard, job.id):
            patience *= 4
        elif (
            allocation.gang
            and not begun
            and not self.scheduler.priorities.late(job)
            and job.id not in work.ready
            and self.scheduler.quotas.limit_left(job.spec) >= job.spec.tasks
        ):
            # What it was planned on went to others: look elsewhere at once.
            patience = self.report_s * 2
        return trio.current_time() - allocation.since >= patience

    def _without(self, job: Job, shard: int) -> list[TaskRange] | None:
        """A job's ranges once a shard has given its rest back; None if that must wait."""
        # What is done stays with the shard that did it.
        rest = merge(
            (a, b, p)
            for first, end, p in job.record.ranges
            for a, b in (
                [(first, end)]
                if p != shard
                else [(t, t + 1) for t in range(first, end) if job.is_finished(t)]
            )
        )
        if len(rest) <= RANGES:
            return rest
        # Too many pieces for a record: all of it goes, once what is done is durable.
        if job.local:
            return None
        return [r for r in job.record.ranges if r.shard != shard]

    async def _give_back(self, work: ShardState, allocation: ShardAllocation, token: int) -> None:
        job, shard = allocation.job, allocation.shard
        rest = self._without(job, shard)
        if rest is None:
            return
        allocation.since = trio.current_time()
        allocation.moving = True
        version = job.version
        work.ready.discard(job.id)
        try:
            await self.scheduler.write_ranges(
                job,
                {keys.shard(shard): token},
                rest,
                zone=job.record.zone if goes_on(job, rest) else None,
            )
        except StoreUnavailable as error:
            await self.scheduler.resolve_job_outcome(error, job, version, shard, token)
        finally:
            allocation.moving = False
            if job.open:
                self.scheduler.shards.update_allocation(job, shard)
                allocation.rebuild()
