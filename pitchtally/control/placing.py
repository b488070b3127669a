"""Within a part: tasks allotted to queues, started on machines, moved off in time."""

from __future__ import annotations

import logging
import math

import trio

from .. import wire
from . import stretch
from .capacity import (
    fits,
    share_of,
    times,
)
from .cheaper_room import TaskRoom, list_rooms
from .component import SchedulerComponent
from .holdings import Holding, MachineGroup, PartWork
from .machines import Group, Machine, Need, Placement, need_of

log = logging.getLogger("placing")

LEVEL_TOLERANCE = 0.05  # of the least stretch of a queue, relative
# Shares of a machine's cost for a task below which another is cheaper, or as dear.
CHEAPER, ALIKE = 0.8, 1.2
# A machine silent for longer takes no task with its next report, for all that is known.
LONGEST_SILENCE_REPORTS = 1.5
# Machines of a group that are asked whether the group is allowed at all.
SAMPLE = 3


class Placing(SchedulerComponent):
    """Within a part: tasks allotted to queues, started on machines, moved off in time."""

    def work(self, spec: wire.JobSpec, kind: wire.MachineType) -> float:
        """a: machine-seconds of one task there, its part of the image's fetch included."""
        seconds = self.split.estimates.task(spec)
        if spec.image:
            seconds += spec.image_gb / max(kind.fetch_rate, 1e-3) / max(1, spec.tasks)
        return seconds * share_of(need_of(spec), kind)

    def survey(self, part: int) -> None:
        """What the machines of a part hold, by groups of like machines.

        The one pass over tasks and machines; all that a report asks for rests on it
        and on sums kept up with each change.
        """
        work = self.split.parts.work[part]
        now = trio.current_time()
        left = self._renew_holdings(work)
        work.machine_groups = {}
        work.running = [0] * len(wire.RANKS)
        for machine in self.workers.of_part(part):
            self._add_to_group(work, machine, now)
        usable = (m for group in work.machine_groups.values() for m in group.machines)
        work.rooms = list_rooms(usable, now, self.report_s * LONGEST_SILENCE_REPORTS)
        self._add_loads(work, part, left, now)
        for group in [g for g in work.queues if g not in work.machine_groups]:
            del work.queues[group]
        for group, queue in work.queues.items():
            for id, count in queue.items():
                if count and id in work.holdings:
                    self._queued(work, group, id, count)
        self._renew_levels(work, now)

    def _renew_holdings(self, work: PartWork) -> dict[str, float]:
        """Seconds that a task of each job takes; what waiting tasks need at the least."""
        left: dict[str, float] = {}
        least = (math.inf, math.inf)
        for id, holding in work.holdings.items():
            self.split.order.renew(holding)
            self.split.parts.weigh(holding)
            left[id] = self.split.estimates.task(holding.spec)
            if holding.pool.count and not holding.gang:
                least = (min(least[0], holding.need[0]), min(least[1], holding.need[2]))
        work.least = least
        return left

    def _add_to_group(self, work: PartWork, machine: Machine, now: float) -> None:
        usable = machine.usable
        if not usable:
            for placement in list(machine.placements.values()):
                if not placement.sent_seq and not placement.seen:
                    # Chosen before the machine fell out of use: it is nowhere yet.
                    self.workers.stop(placement, 0.0)
        if not usable or machine.resting_until >= now or machine.kind is None:
            return
        machine_group = work.machine_groups.get(machine.group)
        if machine_group is None:
            machine_group = work.machine_groups[machine.group] = MachineGroup(machine.kind)
        machine_group.machines.append(machine)

    def _add_loads(self, work: PartWork, part: int, left: dict[str, float], now: float) -> None:
        for group, jobs in self.workers.placements.loads.get(part, {}).items():
            machine_group = work.machine_groups.get(group)
            for id, load in jobs.items():
                work.running[load.rank] += load.count
                seconds = left.get(id)
                if machine_group is None or seconds is None:
                    continue
                # What stands on machines out of use is in it: they are few, and their
                # tasks will want room again.
                share = share_of(load.need, machine_group.kind)
                if work.holdings[id].service:
                    machine_group.held += load.count * share
                    continue
                machine_group.work[id] = load.left(seconds, now) * share
                machine_group.ranks[id] = load.rank

    def _renew_levels(self, work: PartWork, now: float) -> None:
        for group, machine_group in work.machine_groups.items():
            at, machine_group.level = work.known_levels.get(group, (-math.inf, 0.0))
            if now - at < self.report_s:
                continue  # it moves with the queue, not with each task
            queue = self.queue(work, machine_group, len(wire.RANKS))
            machine_group.level = max(
                stretch.least_stretch(queue, now, LEVEL_TOLERANCE), self.split.stretches[0]
            )
            work.known_levels[group] = (now, machine_group.level)

    def _queued(self, work: PartWork, group: Group, id: str, count: int) -> None:
        machine_group, holding = work.machine_groups[group], work.holdings[id]
        amount = count * self.work(holding.spec, machine_group.kind)
        machine_group.work[id] = machine_group.work.get(id, 0.0) + amount
        machine_group.ranks[id] = holding.rank

    def queue(self, work: PartWork, machine_group: MachineGroup, rank: int) -> list[stretch.Entry]:
        """The queue of one of these machines as a job of that rank meets it: lower yield."""
        out = []
        for id, amount in machine_group.work.items():
            holding = work.holdings.get(id)
            if holding is not None and machine_group.ranks[id] <= rank:
                out.append(
                    stretch.Entry(holding.release, holding.size, amount / machine_group.width)
                )
        return out

    def allot(self, part: int) -> None:
        """Tasks in no queue yet, split by availability at the least covering stretch."""
        work = self.split.parts.work[part]
        now = trio.current_time()
        for id, holding in work.holdings.items():
            if holding.gang:
                continue
            held = sum(q.get(id, 0) for q in work.queues.values())
            if held > holding.pool.count:
                # Taken elsewhere or given away: shorten, longest first.
                for queue in sorted(work.queues.values(), key=lambda q: -q.get(id, 0)):
                    cut = min(queue.get(id, 0), held - holding.pool.count)
                    if cut:
                        queue[id] -= cut
                        held -= cut
            more = holding.pool.count - held
            if more <= 0 or (held and now - holding.allotted_at < self.report_s):
                continue  # a few given back since: they start from the pool all the same
            holding.allotted_at = now
            able = [
                (group, machine_group)
                for group, machine_group in work.machine_groups.items()
                if any(self.split.parts.machine_ok(holding, m) for m in machine_group.machines)
            ]
            if not able:
                continue
            queues = [self.queue(work, machine_group, holding.rank) for _, machine_group in able]
            costs = [self.work(holding.spec, machine_group.kind) for _, machine_group in able]
            like = [machine_group.width for _, machine_group in able]

            found = self._least_counts(queues, costs, like, holding.release, holding.size, more)
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

        low, high = 0, len(self.split.stretches) - 1
        while low < high:
            middle = (low + high) // 2
            if sum(counts(self.split.stretches[middle])) >= wanted:
                high = middle
            else:
                low = middle + 1
        return counts(self.split.stretches[low])

    def fill(self, machine: Machine) -> list[Placement]:
        """The starts for a machine that has just reported."""
        now = trio.current_time()
        work = self.split.parts.work.get(machine.part)
        if work is None or not work.loaded:
            return []
        if machine.resting_until < now:
            self.split.gangs.start(work, machine.part)
            self._start_arrays(work, machine, now)
        return [
            p
            for p in machine.placements.values()
            if not p.sent_seq and not p.seen and p.grace is None
        ]

    def _start_arrays(self, work: PartWork, machine: Machine, now: float) -> None:
        room = machine.free()
        if room[0] + 1e-6 < work.least[0] or room[2] + 1e-6 < work.least[1]:
            return
        if min(room[0], room[2]) <= 1e-6:
            return
        for id in self._startable(work, machine, room, now):
            holding = work.holdings[id]
            count = self._most_to_start(work, holding, machine, room, now)
            need = holding.need
            for _ in range(count):
                self.place(holding, holding.pool.pop(), machine, self.attempt(machine.part))
                room = (room[0] - need[0], room[1] - need[1], room[2] - need[2])
                self._take_from_queue(work, machine.group, id)
            if count > 0:
                self._has_started(holding, machine, count)

    def _startable(self, work: PartWork, machine: Machine, room: Need, now: float) -> list[str]:
        """Arrays of which a task could start on the machine, in the order of starts."""
        kept = self._kept_for(work, machine, now)
        own = work.queues.get(machine.group, {})
        machine_group = work.machine_groups.get(machine.group)
        level = machine_group.level if machine_group is not None else self.split.stretches[0]
        rows = []
        for id, holding in work.holdings.items():
            if not holding.pool.count or holding.gang:
                continue
            if not fits(holding.need, room) or not self.split.parts.ready(work, id, holding, now):
                continue
            if kept is not None and id != kept:
                continue
            if not self.split.parts.machine_ok(holding, machine):
                continue
            spec = holding.spec
            rank, over, due = self.split.order.key(holding, level)
            if spec.image and spec.image not in machine.images and machine.kind is not None:
                due += spec.image_gb / max(machine.kind.fetch_rate, 1e-3)
            rows.append((rank, over, due, not own.get(id, 0), id))
        return [row[-1] for row in sorted(rows)]

    def _kept_for(self, work: PartWork, machine: Machine, now: float) -> str | None:
        """The job that the machine's room is kept for, if it still waits for it."""
        if machine.reserved is None:
            return None
        id, until = machine.reserved
        holding = work.holdings.get(id)
        if until < now or holding is None or not holding.pool.count:
            machine.reserved = None
            return None
        return id

    def _most_to_start(
        self, work: PartWork, holding: Holding, machine: Machine, room: Need, now: float
    ) -> int:
        """How many tasks of an array may start on a machine with this room."""
        spec = holding.spec
        limit = min(times(holding.need, room), holding.pool.count)
        if limit:
            limit = min(limit, self.split.teams.tasks_within_limit(machine.part, spec))
        if limit and not holding.aged:
            better = self._better_room(work, holding, machine)
            limit = min(limit, holding.pool.count - better)
        if holding.aged:
            limit = min(limit, 1)
        if holding.faulty:
            # One task at a time tells whether it still fails.
            limit = min(limit, 1 - len(holding.placed))
        if spec.spread and spec.tasks > 1 and limit:
            zone = machine.zone
            limit = min(limit, holding.most_in_zone(zone) - holding.placed_in(zone))
        return limit

    def _has_started(self, holding: Holding, machine: Machine, count: int) -> None:
        room = holding.room_in.get(machine.group)
        if room is not None:
            room.take(count)
        if holding.aged:
            holding.aged = False  # it has begun: others' turn
            if machine.reserved and machine.reserved[0] == holding.job.id:
                machine.reserved = None
        if not holding.pool.count:
            machine.reserved = None

    def _better_room(self, work: PartWork, holding: Holding, machine: Machine) -> int:
        """Tasks of this job that machines of its part with less to lose have room for.

        They report within `report_s`, so the tasks wait that long at most, and the
        dear or sought-after machine stays free for others, or goes back.
        """
        spec = holding.spec
        if self.report_s > self.policy.defer_share * self.split.order.slack(spec):
            return 0  # even one report's wait is dear to this class
        cost = self.cost(spec, machine)
        room = 0
        for group, machine_group in work.machine_groups.items():
            theirs = self.cost(spec, machine_group.machines[0])
            cheaper = theirs < cost * CHEAPER
            # Between machines as dear as one another, an idle one is left alone so
            # that it can go back, while busy ones have room.
            alike = not machine.placements and theirs < cost * ALIKE
            if not cheaper and not alike:
                continue
            found = self._room_in(work, holding, group)
            room += found.on_busy + (found.on_idle if cheaper else 0)
        return room

    def _room_in(self, work: PartWork, holding: Holding, group: Group) -> TaskRoom:
        """Tasks of a job that a group takes, as of the last survey and its own starts since."""
        found = holding.room_in.get(group)
        if found is None:
            rooms = work.rooms.get(group)
            if rooms is None or not self._group_ok(work, holding, group):
                found = TaskRoom()
            else:
                found = rooms.for_tasks(holding.need, holding.pool.count)
            holding.room_in[group] = found
        return found

    def _group_ok(self, work: PartWork, holding: Holding, group: Group) -> bool:
        """Whether the job may use a group; machines on which it failed are few."""
        machines = work.machine_groups[group].machines
        return any(self.split.parts.machine_ok(holding, each) for each in machines[:SAMPLE])

    def cost(self, spec: wire.JobSpec, machine: Machine) -> float:
        """What an hour of one such task takes of a machine, in money."""
        kind = machine.kind
        if kind is None:
            return math.inf
        price = (kind.spot_price or kind.price) if machine.spot else kind.price
        return price * share_of(need_of(spec), kind)

    def _take_from_queue(self, work: PartWork, group: Group, id: str) -> None:
        """From the machines' own queue, else from the longest of the part that has it."""
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

    def attempt(self, part: int) -> int:
        """A number for the next start, never used before by anyone."""
        return self.workers.parts[part].attempt()

    def place(self, holding: Holding, task: int, machine: Machine, attempt: int) -> None:
        """Give a task its place on a machine; the next report starts it."""
        placement = Placement(holding.job, task, attempt, machine)
        holding.placed[task] = placement
        self.workers.placements.put(placement)
        holding.since = trio.current_time()

    def vacate(self, part: int) -> None:
        """Before the cloud takes a machine back, save and move what won't finish there.

        Left alone, the tasks would lose their progress and then wait for the machine's
        lease to end before anyone may start them again.
        """
        now = trio.current_time()
        work = self.split.parts.work[part]
        for machine in self.workers.of_part(part):
            if machine.notice_at is None:
                continue
            left = machine.notice_at - now
            for placement in list(machine.placements.values()):
                if placement.grace is not None or not placement.seen:
                    continue
                spec = placement.spec
                ran = now - placement.run_at if placement.run_at is not None else 0.0
                # The notice may be half as long as told, and estimates are rough.
                over_soon = (self.split.estimates.task(spec) - ran) * 2 < left
                if over_soon and not spec.is_service:
                    continue
                for each in self.split.preemption.with_gang(work, placement):
                    self.workers.stop(each, each.spec.save if each.spec.checkpoint else 0.0)
