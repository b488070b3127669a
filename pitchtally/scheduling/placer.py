"""Within a shard: tasks allotted to queues, started on machines, moved off in time."""

from __future__ import annotations

import logging
import math

import trio

from ..agents.machine import Machine, MachineGroupKey, Placement
from ..jobs.resources import Resources, count_fitting, dominant_share, fits, resource_request
from ..protocol import cloud_api, user_api
from . import stretch
from .allocations import MachineGroup, ShardAllocation, ShardState
from .component import SchedulerComponent
from .lower_price_capacity import TaskCapacity, list_capacities

log = logging.getLogger("placing")

LEVEL_TOLERANCE = 0.05  # of the least stretch of a queue, relative
# Shares of a machine's cost for a task below which another is cheaper, or as dear.
CHEAPER, ALIKE = 0.8, 1.2
# A machine silent for longer takes no task with its next report, for all that is known.
LONGEST_SILENCE_REPORTS = 1.5
# Machines of a group that are asked whether the group is allowed at all.
SAMPLE = 3


class Placer(SchedulerComponent):
    """Within a shard: tasks allotted to queues, started on machines, moved off in time."""

    def work(self, spec: user_api.JobSpec, machine_type: cloud_api.MachineType) -> float:
        """a: machine-seconds of one task there, its part of the image's fetch included."""
        seconds = self.scheduler.estimates.task(spec)
        if spec.image:
            seconds += spec.image_gb / max(machine_type.fetch_rate, 1e-3) / max(1, spec.tasks)
        return seconds * dominant_share(resource_request(spec), machine_type)

    def survey(self, shard: int) -> None:
        """What the machines of a shard hold, by groups of like machines.

        The one pass over tasks and machines; all that a report asks for rests on it
        and on sums kept up with each change.
        """
        work = self.scheduler.shards.work[shard]
        now = trio.current_time()
        left = self._renew_allocations(work)
        work.machine_groups = {}
        work.running = [0] * len(user_api.RANKS)
        for machine in self.agents.of_shard(shard):
            self._add_to_group(work, machine, now)
        usable = (m for group in work.machine_groups.values() for m in group.machines)
        work.capacities = list_capacities(usable, now, self.report_s * LONGEST_SILENCE_REPORTS)
        self._add_loads(work, shard, left, now)
        for group in [g for g in work.queues if g not in work.machine_groups]:
            del work.queues[group]
        for group, queue in work.queues.items():
            for id, count in queue.items():
                if count and id in work.allocations:
                    self._queued(work, group, id, count)
        self._renew_levels(work, now)

    def _renew_allocations(self, work: ShardState) -> dict[str, float]:
        """Seconds that a task of each job takes; what waiting tasks need at the least."""
        left: dict[str, float] = {}
        least = (math.inf, math.inf)
        for id, allocation in work.allocations.items():
            self.scheduler.priorities.renew(allocation)
            self.scheduler.shards.score(allocation)
            left[id] = self.scheduler.estimates.task(allocation.spec)
            if allocation.pending.count and not allocation.gang:
                least = (
                    min(least[0], allocation.resources[0]),
                    min(least[1], allocation.resources[2]),
                )
        work.least = least
        return left

    def _add_to_group(self, work: ShardState, machine: Machine, now: float) -> None:
        usable = machine.schedulable
        if not usable:
            for placement in list(machine.placements.values()):
                if not placement.start_heartbeat_seq and not placement.observed:
                    # Chosen before the machine fell out of use: it is nowhere yet.
                    self.agents.stop(placement, 0.0)
        if not usable or machine.quarantined_until >= now or machine.machine_type is None:
            return
        machine_group = work.machine_groups.get(machine.group)
        if machine_group is None:
            machine_group = work.machine_groups[machine.group] = MachineGroup(machine.machine_type)
        machine_group.machines.append(machine)

    def _add_loads(self, work: ShardState, shard: int, left: dict[str, float], now: float) -> None:
        for group, jobs in self.agents.placements.loads.get(shard, {}).items():
            machine_group = work.machine_groups.get(group)
            for id, load in jobs.items():
                work.running[load.rank] += load.count
                seconds = left.get(id)
                if machine_group is None or seconds is None:
                    continue
                # What stands on machines out of use is in it: they are few, and their
                # tasks will want room again.
                share = dominant_share(load.resources, machine_group.machine_type)
                if work.allocations[id].service:
                    machine_group.held += load.count * share
                    continue
                machine_group.work[id] = load.remaining_seconds(seconds, now) * share
                machine_group.ranks[id] = load.rank

    def _renew_levels(self, work: ShardState, now: float) -> None:
        for group, machine_group in work.machine_groups.items():
            at, machine_group.level = work.known_levels.get(group, (-math.inf, 0.0))
            if now - at < self.report_s:
                continue  # it moves with the queue, not with each task
            queue = self.queue(work, machine_group, len(user_api.RANKS))
            machine_group.level = max(
                stretch.least_stretch(queue, now, LEVEL_TOLERANCE), self.scheduler.stretches[0]
            )
            work.known_levels[group] = (now, machine_group.level)

    def _queued(self, work: ShardState, group: MachineGroupKey, id: str, count: int) -> None:
        machine_group, allocation = work.machine_groups[group], work.allocations[id]
        amount = count * self.work(allocation.spec, machine_group.machine_type)
        machine_group.work[id] = machine_group.work.get(id, 0.0) + amount
        machine_group.ranks[id] = allocation.rank

    def queue(
        self, work: ShardState, machine_group: MachineGroup, rank: int
    ) -> list[stretch.Entry]:
        """The queue of one of these machines as a job of that rank meets it: lower yield."""
        out = []
        for id, amount in machine_group.work.items():
            allocation = work.allocations.get(id)
            if allocation is not None and machine_group.ranks[id] <= rank:
                out.append(
                    stretch.Entry(allocation.release, allocation.size, amount / machine_group.width)
                )
        return out

    def allot(self, shard: int) -> None:
        """Tasks in no queue yet, split by availability at the least covering stretch."""
        work = self.scheduler.shards.work[shard]
        now = trio.current_time()
        for id, allocation in work.allocations.items():
            if allocation.gang:
                continue
            held = sum(q.get(id, 0) for q in work.queues.values())
            if held > allocation.pending.count:
                # Taken elsewhere or given away: shorten, longest first.
                for queue in sorted(work.queues.values(), key=lambda q: -q.get(id, 0)):
                    cut = min(queue.get(id, 0), held - allocation.pending.count)
                    if cut:
                        queue[id] -= cut
                        held -= cut
            more = allocation.pending.count - held
            if more <= 0 or (held and now - allocation.allotted_at < self.report_s):
                continue  # a few given back since: they start from the pool all the same
            allocation.allotted_at = now
            able = [
                (group, machine_group)
                for group, machine_group in work.machine_groups.items()
                if any(
                    self.scheduler.shards.machine_ok(allocation, m) for m in machine_group.machines
                )
            ]
            if not able:
                continue
            queues = [self.queue(work, machine_group, allocation.rank) for _, machine_group in able]
            costs = [
                self.work(allocation.spec, machine_group.machine_type) for _, machine_group in able
            ]
            like = [machine_group.width for _, machine_group in able]

            found = self._least_counts(
                queues, costs, like, allocation.release, allocation.size, more
            )
            # Beyond the largest sample nothing is promised: spread by what there is.
            weights = (
                found
                if sum(found)
                else [n / max(a, 1e-6) for a, n in zip(costs, like, strict=True)]
            )
            for (group, _), n in zip(able, stretch.shares(weights, more), strict=True):
                if n:
                    queue = work.queues.setdefault(group, {})
                    queue[id] = queue.get(id, 0) + n
                    self._queued(work, group, id, n)

    def _least_counts(
        self,
        queues: list[list[stretch.Entry]],
        costs: list[float],
        like: list[float],
        release: float,
        size: float,
        wanted: int,
    ) -> list[int]:
        """Tasks that each group can take at the least sample that covers them all."""
        now = trio.current_time()

        def counts(level: float) -> list[int]:
            return [
                int(n * stretch.capacity(stretch.gap(q, level, release, size, now), a))
                for q, a, n in zip(queues, costs, like, strict=True)
            ]

        low, high = 0, len(self.scheduler.stretches) - 1
        while low < high:
            middle = (low + high) // 2
            if sum(counts(self.scheduler.stretches[middle])) >= wanted:
                high = middle
            else:
                low = middle + 1
        return counts(self.scheduler.stretches[low])

    def schedule_on(self, machine: Machine) -> list[Placement]:
        """The starts for a machine that has just reported."""
        now = trio.current_time()
        work = self.scheduler.shards.work.get(machine.shard)
        if work is None or not work.loaded:
            return []
        if machine.quarantined_until < now:
            self.scheduler.gangs.start(work, machine.shard)
            self._start_arrays(work, machine, now)
        return [
            p
            for p in machine.placements.values()
            if not p.start_heartbeat_seq and not p.observed and p.stop_grace is None
        ]

    def _start_arrays(self, work: ShardState, machine: Machine, now: float) -> None:
        available = machine.available()
        if available[0] + 1e-6 < work.least[0] or available[2] + 1e-6 < work.least[1]:
            return
        if min(available[0], available[2]) <= 1e-6:
            return
        for id in self._startable(work, machine, available, now):
            allocation = work.allocations[id]
            count = self._most_to_start(work, allocation, machine, available, now)
            resources = allocation.resources
            for _ in range(count):
                self.place(
                    allocation, allocation.pending.pop(), machine, self.attempt(machine.shard)
                )
                available = available.minus(resources)
                self._take_from_queue(work, machine.group, id)
            if count > 0:
                self._has_started(allocation, machine, count)

    def _startable(
        self, work: ShardState, machine: Machine, available: Resources, now: float
    ) -> list[str]:
        """Arrays of which a task could start on the machine, in the order of starts."""
        kept = self._kept_for(work, machine, now)
        own = work.queues.get(machine.group, {})
        machine_group = work.machine_groups.get(machine.group)
        level = machine_group.level if machine_group is not None else self.scheduler.stretches[0]
        rows = []
        for id, allocation in work.allocations.items():
            if not allocation.pending.count or allocation.gang:
                continue
            if not fits(allocation.resources, available) or not self.scheduler.shards.ready(
                work, id, allocation, now
            ):
                continue
            if kept is not None and id != kept:
                continue
            if not self.scheduler.shards.machine_ok(allocation, machine):
                continue
            spec = allocation.spec
            rank, over, due = self.scheduler.priorities.key(allocation, level)
            if (
                spec.image
                and spec.image not in machine.cached_images
                and machine.machine_type is not None
            ):
                due += spec.image_gb / max(machine.machine_type.fetch_rate, 1e-3)
            rows.append((rank, over, due, not own.get(id, 0), id))
        return [row[-1] for row in sorted(rows)]

    def _kept_for(self, work: ShardState, machine: Machine, now: float) -> str | None:
        """The job that the machine's room is kept for, if it still waits for it."""
        if machine.reservation is None:
            return None
        id, until = machine.reservation
        allocation = work.allocations.get(id)
        if until < now or allocation is None or not allocation.pending.count:
            machine.reservation = None
            return None
        return id

    def _most_to_start(
        self,
        work: ShardState,
        allocation: ShardAllocation,
        machine: Machine,
        available: Resources,
        now: float,
    ) -> int:
        """How many tasks of an array may start on a machine with this room."""
        spec = allocation.spec
        limit = min(count_fitting(allocation.resources, available), allocation.pending.count)
        if limit:
            limit = min(limit, self.scheduler.quotas.tasks_within_limit(machine.shard, spec))
        if limit and not allocation.aged:
            better = self._better_room(work, allocation, machine)
            limit = min(limit, allocation.pending.count - better)
        if allocation.aged:
            limit = min(limit, 1)
        if allocation.faulty:
            # One task at a time tells whether it still fails.
            limit = min(limit, 1 - len(allocation.placed))
        if spec.spread and spec.tasks > 1 and limit:
            zone = machine.zone
            limit = min(limit, allocation.most_in_zone(zone) - allocation.placed_in(zone))
        return limit

    def _has_started(self, allocation: ShardAllocation, machine: Machine, count: int) -> None:
        available = allocation.capacity_in.get(machine.group)
        if available is not None:
            available.take(count)
        if allocation.aged:
            allocation.aged = False  # it has begun: others' turn
            if machine.reservation and machine.reservation.job_id == allocation.job.id:
                machine.reservation = None
        if not allocation.pending.count:
            machine.reservation = None

    def _better_room(self, work: ShardState, allocation: ShardAllocation, machine: Machine) -> int:
        """Tasks of this job that machines of its shard with less to lose have room for.

        They report within `report_s`, so the tasks wait that long at most, and the
        dear or sought-after machine stays free for others, or goes back.
        """
        spec = allocation.spec
        if self.report_s > self.policy.defer_share * self.scheduler.priorities.slack(spec):
            return 0  # even one report's wait is dear to this class
        cost = self.cost(spec, machine)
        available = 0
        for group, machine_group in work.machine_groups.items():
            theirs = self.cost(spec, machine_group.machines[0])
            cheaper = theirs < cost * CHEAPER
            # Between machines as dear as one another, an idle one is left alone so
            # that it can go back, while busy ones have room.
            alike = not machine.placements and theirs < cost * ALIKE
            if not cheaper and not alike:
                continue
            found = self._room_in(work, allocation, group)
            available += found.on_busy + (found.on_idle if cheaper else 0)
        return available

    def _room_in(
        self, work: ShardState, allocation: ShardAllocation, group: MachineGroupKey
    ) -> TaskCapacity:
        """Tasks of a job that a group takes, as of the last survey and its own starts since."""
        found = allocation.capacity_in.get(group)
        if found is None:
            capacities = work.capacities.get(group)
            if capacities is None or not self._group_ok(work, allocation, group):
                found = TaskCapacity()
            else:
                found = capacities.for_tasks(allocation.resources, allocation.pending.count)
            allocation.capacity_in[group] = found
        return found

    def _group_ok(
        self, work: ShardState, allocation: ShardAllocation, group: MachineGroupKey
    ) -> bool:
        """Whether the job may use a group; machines on which it failed are few."""
        machines = work.machine_groups[group].machines
        return any(self.scheduler.shards.machine_ok(allocation, each) for each in machines[:SAMPLE])

    def cost(self, spec: user_api.JobSpec, machine: Machine) -> float:
        """What an hour of one such task takes of a machine, in money."""
        machine_type = machine.machine_type
        if machine_type is None:
            return math.inf
        price = (
            (machine_type.spot_price or machine_type.price) if machine.spot else machine_type.price
        )
        return price * dominant_share(resource_request(spec), machine_type)

    def _take_from_queue(self, work: ShardState, group: MachineGroupKey, id: str) -> None:
        """From the machines' own queue, else from the longest of the shard that has it."""
        own = work.queues.get(group)
        if own and own.get(id, 0):
            own[id] -= 1
            return
        longest = max(
            (q for q in work.queues.values() if q.get(id, 0)),
            key=lambda q: sum(q.values()),
            default=None,
        )
        if longest is not None:
            longest[id] -= 1

    def attempt(self, shard: int) -> int:
        """A number for the next start, never used before by anyone."""
        return self.agents.shards[shard].next_attempt()

    def place(self, allocation: ShardAllocation, task: int, machine: Machine, attempt: int) -> None:
        """Give a task its place on a machine; the next report starts it."""
        placement = Placement(allocation.job, task, attempt, machine)
        allocation.placed[task] = placement
        self.agents.placements.put(placement)
        allocation.since = trio.current_time()

    def evict_draining(self, shard: int) -> None:
        """Before the cloud takes a machine back, save and move what won't finish there.

        Left alone, the tasks would lose their progress and then wait for the machine's
        lease to end before anyone may start them again.
        """
        now = trio.current_time()
        work = self.scheduler.shards.work[shard]
        for machine in self.agents.of_shard(shard):
            if machine.preemption_at is None:
                continue
            left = machine.preemption_at - now
            for placement in list(machine.placements.values()):
                if placement.stop_grace is not None or not placement.observed:
                    continue
                spec = placement.spec
                ran = now - placement.running_since if placement.running_since is not None else 0.0
                # The notice may be half as long as told, and estimates are rough.
                over_soon = (self.scheduler.estimates.task(spec) - ran) * 2 < left
                if over_soon and not spec.is_service:
                    continue
                for each in self.scheduler.preemption.with_gang(work, placement):
                    self.agents.stop(each, each.spec.save if each.spec.checkpoint else 0.0)
