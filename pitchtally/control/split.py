"""Which part gets a job's tasks, and which of them start on a machine.

The path of the design: an accepting node keeps a job if its part covers it at a
stretch of at most B times the lowest anywhere, else the leader splits it by
summed availability; within a part the tasks are allotted to machine queues the
same way; a machine with room starts its queue in deadline order and then takes
from the longest queue of its part. Around it stand what the users' world adds:
ranks, guarantees and limits of teams, zones, gangs, preemption, and parts that
give tasks to a part with room.
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import msgspec
import trio

from .. import tokens, wire
from ..policy import Policy
from ..settings import Settings, Team
from ..store import Replica, StoreDown, Write
from . import stretch
from .jobs import Book, Job, Record, encode, merge
from .members import Beat, MachineNote, Members, PartNote
from .workers import Group, Machine, Need, Placement, Workers, need_of

log = logging.getLogger("split")

# Jobs that may preempt in one round: the rest is looked at in the next.
_PREEMPT = 8

# Planning rests this many times as long as it took.
_REST = 4.0

# Waiting jobs that a part offers to others between two notes from them.
_BALANCE = 24

_RANK = {rank: i for i, rank in enumerate(wire.RANKS)}


def fits(need: Need, room: tuple[float, ...]) -> bool:
    return all(n <= r + 1e-6 for n, r in zip(need, room, strict=True))


def times(need: Need, room: tuple[float, ...]) -> int:
    """How many tasks of this need fit into a room."""
    counts = [(r + 1e-6) / n for n, r in zip(need, room, strict=True) if n > 0]
    return int(max(0.0, min([1e6, *counts])))


def whole(spec: wire.JobSpec) -> bool:
    """Jobs that stay in one part: their tasks constrain one another."""
    return spec.kind == wire.GANG or (spec.tasks > 1 and (spec.one_zone or spec.spread))


def _gang(placement: Placement) -> bool:
    return placement.spec.kind == wire.GANG


def covered(job: Job) -> bool:
    return sum(b - a for a, b, _ in job.record.ranges) >= job.record.tasks


class Pool:
    """Tasks not started: ranges, so that a wide array costs little."""

    def __init__(self) -> None:
        self.ranges: list[tuple[int, int]] = []
        self.count = 0

    def put(self, first: int, end: int) -> None:
        if end > first:
            self.ranges.append((first, end))
            self.count += end - first

    def pop(self) -> int:
        first, end = self.ranges[-1]
        if end - first == 1:
            self.ranges.pop()
        else:
            self.ranges[-1] = (first + 1, end)
        self.count -= 1
        return first

    def carve(self, wanted: int) -> list[tuple[int, int]]:
        """Take up to that many tasks off the far end, as ranges."""
        out = []
        while wanted > 0 and self.ranges:
            first, end = self.ranges.pop(0)
            take = min(wanted, end - first)
            out.append((end - take, end))
            if first < end - take:
                self.ranges.insert(0, (first, end - take))
            wanted -= take
            self.count -= take
        return out


class Holding:
    """The tasks of one job in one part that this node owns."""

    def __init__(self, job: Job, part: int, release: float):
        self.job = job
        self.part = part
        spec = job.spec
        self.spec = spec
        self.need = need_of(spec)
        self.rank = _RANK[spec.rank]
        self.gang = spec.kind == wire.GANG
        self.one_zone = spec.one_zone and spec.tasks > 1
        self.release = release  # acceptance on this node's steady clock
        self.size = 0.0  # w, and what lateness adds: renewed with each survey
        self.late = 0.0
        self.aged = False  # has waited too long for its first start, or the next
        self.groups: dict[Group, bool] = {}  # machines that the job allows
        self.better: dict[Group, int] = {}  # see `_better_room`
        self.pool = Pool()
        self.placed: dict[int, Placement] = {}
        self.ranges: list[tuple[int, int]] = []
        self.since = trio.current_time()  # waiting for room since
        self.moving = False
        self.not_before = -1e9  # after failures on several machines
        self.failed_on: set[str] = set()
        self.tried = 0  # the shared attempt that was placed last

    def rebuild(self) -> None:
        """Everything in the ranges that is neither finished nor placed."""
        self.ranges = [(a, b) for a, b, p in self.job.record.ranges if p == self.part]
        self.pool = Pool()
        runs = []
        for first, end in self.ranges:
            start: int | None = None
            for task in range(first, end):
                if task in self.placed or self.job.is_finished(task):
                    if start is not None:
                        runs.append((start, task))
                        start = None
                elif start is None:
                    start = task
            if start is not None:
                runs.append((start, end))
        for first, end in reversed(runs):
            self.pool.put(first, end)

    def give_back(self, task: int) -> None:
        if any(a <= task < b for a, b in self.ranges) and not self.job.is_finished(task):
            self.pool.put(task, task + 1)


def plan_rooms(
    rooms: dict[tuple[int, str], int], tasks: int, *, one_zone: bool, spread: bool
) -> dict[tuple[int, str], int] | None:
    """Share a gang out over (part, zone) rooms, widest first; None if it doesn't fit."""
    zones = sorted({zone for _, zone in rooms})
    choices = [[zone] for zone in zones] if one_zone else [zones]
    limit = (tasks + 1) // 2 if spread and tasks > 1 else tasks
    best: dict[tuple[int, str], int] | None = None
    for choice in choices:
        left = tasks
        inside = dict.fromkeys(choice, limit)
        plan: dict[tuple[int, str], int] = {}
        for (part, zone), room in sorted(rooms.items(), key=lambda r: -r[1]):
            n = min(room, left, inside.get(zone, 0))
            if n:
                plan[(part, zone)] = n
                left -= n
                inside[zone] -= n
        # Fewer parts, fewer owners whose places have to come free at the same time.
        if not left and (best is None or len(plan) < len(best)):
            best = plan
    return best


class Plan(NamedTuple):
    """Who gets a job's tasks, and what binds gangs over several parts."""

    ranges: list[tuple[int, int, int]]
    zone: str | None = None
    attempt: int = 0
    caps: list[tuple[int, str, int]] = []


NOBODY = Plan([])

# How a gang may get its room: what is free, what lower ranks hold as well, and what
# teams beyond their guarantee hold as well; or, after a long wait, whatever comes free
# first, kept for it meanwhile.
FREE, YIELDING, OVER, KEPT = range(4)


class Step(NamedTuple):
    """Room for one more task on a machine, and whom it takes to stop for it."""

    cost: float
    name: str
    machine: Machine
    victims: list[Placement]


class Crowd:
    """Machines of a part that are alike, and the queue that they share evenly.

    A matrix by machine would cost more with every machine; like machines with one
    queue promise the same, since any of them takes the next task.
    """

    def __init__(self, kind: wire.MachineType) -> None:
        self.kind = kind
        self.machines: list[Machine] = []
        self.work: dict[str, float] = {}  # job -> machine-seconds running and queued
        self.ranks: dict[str, int] = {}
        self.level = 0.0  # the least stretch that its queue meets


class PartWork:
    def __init__(self) -> None:
        self.loaded = False
        self.settled = False
        self.blocked: set[str] = set()  # jobs whose tasks an unheard machine may hold
        self.holdings: dict[str, Holding] = {}
        self.queues: dict[Group, dict[str, int]] = {}  # like machines -> job -> tasks
        self.crowds: dict[Group, Crowd] = {}
        self.running: list[int] = [0] * len(wire.RANKS)  # tasks on machines, by rank
        self.ready: set[str] = set()  # gangs over several parts that have their room here
        self.early: list[Placement] = []  # seen on machines before the part settled


class Estimates:
    """Estimates are wrong per class: a running mean of how wrong, from finished runs."""

    def __init__(self) -> None:
        self.logs: dict[str, tuple[float, float]] = {}  # class -> (weight, mean of log ratio)

    def learn(self, spec: wire.JobSpec, ran: float) -> None:
        if ran <= 0 or spec.estimate <= 0:
            return
        weight, mean = self.logs.get(spec.job_class, (0.0, 0.0))
        ratio = max(-3.0, min(3.0, math.log(max(ran, 0.1) / spec.estimate)))
        weight = min(weight + 1, 200.0)
        self.logs[spec.job_class] = (weight, mean + (ratio - mean) / weight)

    def task(self, spec: wire.JobSpec) -> float:
        """Expected seconds of one task; a few runs barely move the owner's estimate."""
        weight, mean = self.logs.get(spec.job_class, (0.0, 0.0))
        return max(0.1, spec.estimate * math.exp(mean * weight / (weight + 5)))


class Split:
    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        members: Members,
        book: Book,
        workers: Workers,
        replica: Replica,
        types: Callable[[], dict[str, wire.MachineType]],
    ):
        self.settings = settings
        self.policy = policy
        self.members = members
        self.book = book
        self.workers = workers
        self.types = types
        self.count = settings.deployment.count
        self.report_s = settings.deployment.workers.report_s
        self.teams: dict[str, Team] = {t.name: t for t in settings.deployment.teams}
        self.estimates = Estimates()
        self.parts: dict[int, PartWork] = {}
        self.notes: dict[int, PartNote] = {}  # newest of every part, ours included
        self.debts: dict[int, list[tuple[float, float]]] = {}
        self.shares: dict[str, list[tuple[float, float]]] = {}
        self.giving: dict[tuple[int, str], tuple[float, float]] = {}
        self.draining: set[str] = set()
        self.recent: dict[tuple[object, ...], wire.JobSpec] = {}  # a job of each shape seen
        self.hungry: dict[str, tuple[float, int, str]] = {}  # team -> gang short of share
        self.counter = 0
        self.levelled_at = -1e9
        self.wake = trio.Event()
        self.released: dict[str, float] = {}  # job -> acceptance on our steady clock
        self.rooms: dict[int, dict[tuple[object, ...], int]] = {}  # see `_room`
        self.balanced_at = -1e9
        # Room promised to gangs that notes can't show yet: (at, (part, zone), need, tasks).
        self.keeping: tuple[str, float] | None = None  # the gang that waits for kept room
        self.noted_at: dict[int, float] = {}  # when a peer's note came
        self.booked: list[tuple[float, tuple[int, str], Need, int]] = []
        self.matrix_at = -1e9
        # S in task-seconds per task-second: from far below any real queue upward.
        self.stretches = stretch.geometric(2.0**-12, 2.0, int(policy.stretch_samples))
        self.sizes = stretch.geometric(16.0, 8.0, int(policy.size_samples))
        self.tasks = stretch.geometric(0.25, 3.0, int(policy.task_samples))
        self.replica = replica
        replica.listen("shares", self._on_shares)
        book.watchers.append(self.on_job)

    # --- the parts we own ---------------------------------------------------

    def gained(self, part: int) -> None:
        self.parts[part] = PartWork()

    def lost_part(self, part: int) -> None:
        self.parts.pop(part, None)
        self.notes.pop(part, None)

    def loaded(self, part: int) -> None:
        work = self.parts[part]
        work.loaded = True
        for job in list(self.book.open.values()):
            if any(p == part for _, _, p in job.record.ranges):
                work.blocked.add(job.id)

    def settled(self, part: int) -> None:
        """Every machine that may hold a task is heard or gone: the rest is nowhere."""
        work = self.parts[part]
        work.settled = True
        work.blocked.clear()
        for job in list(self.book.open.values()):
            self._hold(job, part)
        for placement in work.early:
            # Those that ended meanwhile were given back in `gone`.
            if placement.machine.placements.get(placement.key) is placement:
                self._attach(placement)
        work.early.clear()
        self.wake.set()

    def on_job(self, job: Job, old: Record | None) -> None:
        if not job.open:
            self.released.pop(job.id, None)
            for work in self.parts.values():
                holding = work.holdings.pop(job.id, None)
                work.blocked.discard(job.id)
                for queue in work.queues.values():
                    queue.pop(job.id, None)
                if holding is not None:
                    for placement in list(holding.placed.values()):
                        self.workers.stop(placement, 0.0)
            if old is None or old.stage == "open":
                self.workers.stop_job(job.id)
            return
        if old is None:
            spec = job.spec
            self.recent[(spec.job_class, spec.types, spec.zone, spec.spot)] = spec
        if old is not None and old.ranges == job.record.ranges and old.zone == job.record.zone:
            return
        for part in list(self.parts):
            self._hold(job, part)
        self.wake.set()

    def _hold(self, job: Job, part: int) -> None:
        work = self.parts[part]
        mine = [(a, b) for a, b, p in job.record.ranges if p == part]
        holding = work.holdings.get(job.id)
        if holding is None:
            if not mine or not work.loaded or job.id in work.blocked:
                return
            holding = work.holdings[job.id] = Holding(job, part, self.release(job))
            self._renew(holding)
            holding.rebuild()
        elif holding.ranges != mine and not holding.moving:
            holding.rebuild()
        if not mine and not holding.placed:
            work.holdings.pop(job.id, None)

    def adopt(self, placement: Placement) -> bool:
        """A running task that an earlier owner started; False: it must be stopped."""
        work = self.parts.get(placement.machine.part)
        if work is None:
            return False
        if not work.settled:
            work.early.append(placement)
            return True
        return self._attach(placement)

    def _attach(self, placement: Placement) -> bool:
        work = self.parts[placement.machine.part]
        holding = work.holdings.get(placement.job.id)
        if holding is None or placement.task in holding.placed:
            self.workers.stop(placement, 0.0)
            return False
        if not any(a <= placement.task < b for a, b in holding.ranges):
            self.workers.stop(placement, 0.0)
            return False
        holding.placed[placement.task] = placement
        holding.rebuild()
        return True

    def halt(self, id: str) -> None:
        """A peer says the job is cancelled: nothing of it starts here any more."""
        for work in self.parts.values():
            work.blocked.add(id)

    def running(self, id: str) -> int:
        """Tasks of a job running on machines that this node knows of, for display."""
        return sum(
            1
            for work in self.parts.values()
            if (holding := work.holdings.get(id)) is not None
            for placement in holding.placed.values()
            if placement.state == wire.RUNNING
        ) or sum(note.running.get(id, 0) for note in self.notes.values()
                 if note.part not in self.parts)

    def pick_zone(
        self, spec: wire.JobSpec, ranges: list[tuple[int, int, int]]
    ) -> str | None:
        """The zone for a one-zone job of several tasks, fixed before its first start."""
        if not spec.one_zone or spec.tasks == 1:
            return None
        if spec.zone is not None:
            return spec.zone
        parts = {p for _, _, p in ranges}
        rooms: dict[str, tuple[float, float]] = {}
        for note in self.notes.values():
            if parts and note.part not in parts:
                continue
            for machine in note.machines:
                kind = self.types().get(machine.type)
                if kind is None or machine.flag not in ("", "lost", "unheard", "new"):
                    continue
                if not self._group_ok(spec, kind, machine.zone, machine.spot):
                    continue
                now, ever = rooms.get(machine.zone, (0.0, 0.0))
                rooms[machine.zone] = (
                    now + times(need_of(spec), machine.free),
                    ever + times(need_of(spec), (kind.cpus, kind.gpus, kind.memory)),
                )
        wanted = spec.tasks if spec.kind == wire.GANG else 1
        best = max(rooms.items(), default=None,
                   key=lambda r: (r[1][0] >= wanted, r[1][1] >= wanted, r[1][0], r[1][1]))
        return best[0] if best is not None and best[1][1] >= wanted else None

    # --- what became of tasks ---------------------------------------------------

    def done(self, placement: Placement, ran: float) -> None:
        self.estimates.learn(placement.spec, ran)
        work = self.parts.get(placement.machine.part)
        holding = work.holdings.get(placement.job.id) if work else None
        last = holding is not None and not holding.pool.count and len(holding.placed) <= 1
        self.book.task_done(placement.job, placement.task, urgent=last)

    def gone(self, placement: Placement, cause: str) -> None:
        """The task is on no machine any more: finished, or to be started again."""
        work = self.parts.get(placement.machine.part)
        if work is None:
            return
        if placement in work.early:
            work.early.remove(placement)
        holding = work.holdings.get(placement.job.id)
        if holding is None or holding.placed.get(placement.task) is not placement:
            return
        del holding.placed[placement.task]
        job = placement.job
        if not job.open:
            return
        if not job.is_finished(placement.task):
            holding.give_back(placement.task)
            if cause == wire.ERROR:
                holding.failed_on.add(placement.machine.name)
                # A job that fails wherever it goes waits longer each time.
                tries = len(holding.failed_on)
                if tries > 1:
                    holding.not_before = trio.current_time() + self.report_s * min(
                        2.0**tries, 16.0
                    )
                self._judge(placement.machine)
            elif cause == wire.UNKNOWN:
                holding.not_before = trio.current_time() + self.report_s
        if job.spec.kind == wire.GANG and not job.is_finished(placement.task):
            # What is left of the gang can't go on: the next attempt needs all gone.
            for other in list(holding.placed.values()):
                self.workers.stop(other, job.spec.save)
        self.wake.set()

    def _judge(self, machine: Machine) -> None:
        """Sick machine or bad job: told by whether several jobs fail there."""
        jobs = len(machine.failed_jobs)
        if jobs >= 2 or machine.errors >= 3:
            rest = self.policy.sick_rest * min(4, 1 + machine.errors // 6)
            if machine.resting_until < trio.current_time():
                log.info("machine rests machine=%s jobs=%d errors=%d", machine.name, jobs,
                         machine.errors)
            machine.resting_until = trio.current_time() + rest

    # --- what may go where --------------------------------------------------------

    def allowed(self, job: Job, type_: str, zone: str, spot: bool) -> bool:
        spec = job.spec
        if spec.types is not None and type_ not in spec.types:
            return False
        if spec.zone is not None and zone != spec.zone:
            return False
        return spec.spot or not spot

    def _share(self, part: int, team: str) -> tuple[float, float]:
        """This part's durable share of a team's limits; infinite without a limit."""
        settings = self.teams.get(team)
        if settings is None:
            return (0.0, 0.0)
        rows = self.shares.get(team)
        if rows is not None:
            cpus, gpus = rows[part]
        else:
            cpus, gpus = settings.cpus_max / self.count, settings.gpus_max / self.count
        less = self.giving.get((part, team), (0.0, 0.0))
        return (
            cpus - less[0] if settings.cpus_max > 0 else math.inf,
            gpus - less[1] if settings.gpus_max > 0 else math.inf,
        )

    def _limited(self, team: str) -> bool:
        found = self.teams.get(team)
        return found is None or found.cpus_max > 0 or found.gpus_max > 0

    def use(self, part: int, team: str) -> tuple[float, float]:
        return self.workers.use(part, team)

    def _team_room(self, part: int, spec: wire.JobSpec) -> int:
        """How many more tasks of this job the team's share allows in the part."""
        if not self._limited(spec.team):
            return 1_000_000
        if not self.parts[part].settled:
            return 0  # unheard machines may hold the team's tasks
        if self._held_back(spec):
            return 0
        share, used = self._share(part, spec.team), self.use(part, spec.team)
        return times((spec.cpus, spec.gpus, 0.0), (share[0] - used[0], share[1] - used[1], 1.0))

    def _held_back(self, spec: wire.JobSpec) -> bool:
        """Whether a gang of the team comes first and can't gather enough of its limit.

        Arrays take what frees up task by task, so a gang would wait for ever for a
        limit that its own team's arrays fill.
        """
        gang = self.hungry.get(spec.team)
        if gang is None or spec.kind == wire.GANG:
            return False
        job, first = self.book.open.get(spec.id), self.book.open.get(gang[2])
        if job is None or first is None or _RANK[spec.rank] < _RANK[first.spec.rank]:
            return False
        # The gang's stretch deadline is far off for its size, while it needs little of
        # the limit, and only once: after a few reports it comes first.
        waited = trio.current_time() - self.release(first)
        return waited > self.report_s * 4 or gang[0] <= self.due(job, 1.0)

    def _find_hungry(self) -> None:
        """For each limited team, the first gang that has room on machines but no share."""
        self.hungry.clear()
        limited = {team for team in self.teams if self._limited(team)}
        for gang in self.book.open.values() if limited else ():
            # Not assigned yet, since the limit has no place for all of it.
            team = gang.spec.team
            if (
                gang.spec.kind == wire.GANG and not gang.record.ranges
                and team in limited and self.limit_left(gang.spec) < gang.spec.tasks
            ):
                row = (self.due(gang, 1.0), -1, gang.id)
                if team not in self.hungry or row < self.hungry[team]:
                    self.hungry[team] = row
        for note in self.notes.values():
            for id, count in note.waiting.items():
                job = self.book.open.get(id)
                if job is None or job.spec.kind != wire.GANG or not self._limited(job.spec.team):
                    continue
                spec = job.spec
                share, used = self._share(note.part, spec.team), note.use.get(spec.team, (0, 0))
                room = (share[0] - used[0], share[1] - used[1], 1.0)
                if times((spec.cpus, spec.gpus, 0.0), room) >= count:
                    continue
                if id not in note.reserved and self._room(note, spec, yielding=True) < count:
                    continue
                row = (self.due(job, 1.0), note.part, id)
                if spec.team not in self.hungry or row < self.hungry[spec.team]:
                    self.hungry[spec.team] = row

    def use_anywhere(self, team: str) -> tuple[float, float]:
        """A team's use in all parts: ours exactly, others' as last told."""
        rows = [self.use(p, team) if p in self.parts else note.use.get(team, (0.0, 0.0))
                for p, note in self.notes.items()]
        return sum(r[0] for r in rows), sum(r[1] for r in rows)

    def _under(self, spec: wire.JobSpec) -> bool:
        """Whether the team, with one more such task, runs no more than its guarantee.

        Guarantees decide order and preemption only, so peers' notes are exact enough;
        limits are rules and rest on durable shares instead.
        """
        team = self.teams.get(spec.team)
        if team is None or not (team.cpus or team.gpus):
            return False
        cpus, gpus = self.use_anywhere(spec.team)
        return (not team.cpus or cpus + spec.cpus <= team.cpus + 1e-6) and (
            not team.gpus or gpus + spec.gpus <= team.gpus + 1e-6
        )

    def share_of(self, need: Need, kind: wire.MachineType) -> float:
        """The dominant share of a machine that a task takes."""
        return max(
            need[0] / kind.cpus if kind.cpus else 0.0,
            need[1] / kind.gpus if kind.gpus else 0.0,
            need[2] / kind.memory if kind.memory else 0.0,
        )

    def _machine_ok(self, holding: Holding, machine: Machine) -> bool:
        kind = machine.kind
        if kind is None:
            return False
        ok = holding.groups.get(machine.group)
        if ok is None:
            ok = holding.groups[machine.group] = self.allowed(
                holding.job, machine.type, machine.zone, machine.spot
            ) and fits(holding.need, (kind.cpus, kind.gpus, kind.memory))
        if not ok:
            return False
        # Also what the machine remembers: a holding is new after a move or a takeover.
        if machine.name in holding.failed_on or holding.job.id in machine.failed_jobs:
            return False
        return not holding.one_zone or holding.job.record.zone == machine.zone

    def slack(self, spec: wire.JobSpec) -> float:
        """Seconds a job of this class may wait and still be in time, by the tightest aim."""
        task = self.estimates.task(spec)
        found = [] if spec.deadline is None else [spec.deadline - task]
        found.extend(
            aim.within_s - (0.0 if aim.kind == "wait" else task)
            for aim in self.settings.deployment.objectives
            if aim.job_class == spec.job_class and aim.within_s is not None
        )
        return max(1.0, min(found, default=task * 3))

    # --- sizes and deadlines --------------------------------------------------------

    def size(self, spec: wire.JobSpec) -> float:
        return spec.tasks * self.estimates.task(spec)

    def release(self, job: Job) -> float:
        """The job's acceptance on this node's steady clock."""
        found = self.released.get(job.id)
        if found is None:
            found = trio.current_time() - max(0.0, time.time() - job.record.at)
            self.released[job.id] = found
        return found

    def due(self, job: Job, level: float) -> float:
        release = self.release(job)
        due = stretch.deadline(release, self.size(job.spec), level)
        if job.spec.deadline is not None:
            due = min(due, release + job.spec.deadline)
        return due + self.lateness(job, release)

    def _renew(self, holding: Holding) -> None:
        """What the order needs of a job and changes slowly: once a survey."""
        now = trio.current_time()
        job = holding.job
        holding.size = self.size(holding.spec)
        holding.late = self.lateness(job, holding.release)
        holding.better.clear()
        begun = bool(holding.placed) or job.finished.count > 0 or bool(job.local)
        waits_since = holding.since if begun else min(holding.since, holding.release)
        holding.aged = now - waits_since > self.policy.start_within / 2

    def _due(self, holding: Holding, level: float) -> float:
        """`due`, from what the last survey found."""
        due = stretch.deadline(holding.release, holding.size, level)
        if holding.spec.deadline is not None:
            due = min(due, holding.release + holding.spec.deadline)
        return due + holding.late

    def _order(self, holding: Holding, level: float) -> tuple[int, bool, float]:
        """Rank, then guarantee, then deadline; first of all who waits since too long.

        A stretch deadline alone keeps nobody from starving where ranks stand above it:
        a job that has had no start for half of what users bear comes before all others
        until it has one, in order of acceptance.
        """
        if holding.aged:
            return (-1, False, holding.release)
        return (holding.rank, not self._under(holding.spec), self._due(holding, level))

    def lateness(self, job: Job, release: float) -> float:
        """Added for each aim that the job can't meet any more."""
        spec = job.spec
        task = self.estimates.task(spec)
        now = trio.current_time()
        missed = 0
        for aim in self.settings.deployment.objectives:
            if aim.job_class != spec.job_class or aim.kind == "wait":
                continue
            limit = aim.within_s
            if limit is None and spec.deadline is not None:
                limit = spec.deadline * (aim.times or 1.0)
            if limit is not None and now + task > release + limit:
                missed += 1
        return missed * 1e5

    def _work(self, spec: wire.JobSpec, kind: wire.MachineType) -> float:
        """a: machine-seconds of one task there, its part of the image's fetch included."""
        seconds = self.estimates.task(spec)
        if spec.image:
            seconds += spec.image_gb / max(kind.fetch_rate, 1e-3) / max(1, spec.tasks)
        return seconds * self.share_of(need_of(spec), kind)

    def _survey(self, part: int) -> None:
        """What the machines of a part hold, by groups of like machines.

        The one pass over tasks and machines; all that a report asks for rests on it
        and on sums kept up with each change.
        """
        work = self.parts[part]
        now = trio.current_time()
        left: dict[str, float] = {}
        for id, holding in work.holdings.items():
            self._renew(holding)
            left[id] = self.estimates.task(holding.spec)
        work.crowds = {}
        work.running = [0] * len(wire.RANKS)
        for machine in self.workers.of_part(part):
            for placement in list(machine.placements.values()):
                work.running[placement.rank] += 1
                if not machine.usable and not placement.sent_seq and not placement.seen:
                    # Chosen before the machine fell out of use: it is nowhere yet.
                    self.workers.stop(placement, 0.0)
            if not machine.usable or machine.resting_until >= now or machine.kind is None:
                continue
            kind = machine.kind
            crowd = work.crowds.get(machine.group)
            if crowd is None:
                crowd = work.crowds[machine.group] = Crowd(kind)
            crowd.machines.append(machine)
            for placement in machine.placements.values():
                job = placement.job
                seconds = left.get(job.id)
                if seconds is None or not job.open:
                    continue
                if placement.run_at is not None:
                    seconds = max(0.1, seconds - (now - placement.run_at))
                amount = seconds * self.share_of(placement.need, kind)
                crowd.work[job.id] = crowd.work.get(job.id, 0.0) + amount
                crowd.ranks[job.id] = placement.rank
        for group in [g for g in work.queues if g not in work.crowds]:
            del work.queues[group]
        for group, queue in work.queues.items():
            for id, count in queue.items():
                if count and id in work.holdings:
                    self._queued(work, group, id, count)
        for crowd in work.crowds.values():
            crowd.level = max(
                stretch.least_stretch(self._queue(work, crowd, len(wire.RANKS)), now, 0.05),
                self.stretches[0],
            )

    def _queued(self, work: PartWork, group: Group, id: str, count: int) -> None:
        crowd, holding = work.crowds[group], work.holdings[id]
        amount = count * self._work(holding.spec, crowd.kind)
        crowd.work[id] = crowd.work.get(id, 0.0) + amount
        crowd.ranks[id] = holding.rank

    def _queue(self, work: PartWork, crowd: Crowd, rank: int) -> list[stretch.Entry]:
        """The queue of one of these machines as a job of that rank meets it: lower yield."""
        out = []
        for id, amount in crowd.work.items():
            holding = work.holdings.get(id)
            if holding is not None and crowd.ranks[id] <= rank:
                out.append(stretch.Entry(
                    holding.release, holding.size, amount / len(crowd.machines)
                ))
        return out

    # --- allotting to queues ---------------------------------------------------------

    def _allot(self, part: int) -> None:
        """Tasks in no queue yet, split by availability at the least covering stretch."""
        work = self.parts[part]
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
            if more <= 0:
                continue
            able = [
                (group, crowd) for group, crowd in work.crowds.items()
                if any(self._machine_ok(holding, m) for m in crowd.machines)
            ]
            if not able:
                continue
            queues = [self._queue(work, crowd, holding.rank) for _, crowd in able]
            costs = [self._work(holding.spec, crowd.kind) for _, crowd in able]
            like = [len(crowd.machines) for _, crowd in able]

            found = self._least_counts(
                queues, costs, like, holding.release, holding.size, more
            )
            # Beyond the largest sample nothing is promised: spread by what there is.
            weights = found if sum(found) else [
                n / max(a, 1e-6) for a, n in zip(costs, like, strict=True)
            ]
            for (group, _), n in zip(able, stretch.shares(weights, more), strict=True):
                if n:
                    queue = work.queues.setdefault(group, {})
                    queue[id] = queue.get(id, 0) + n
                    self._queued(work, group, id, n)

    def _least_counts(
        self,
        queues: list[list[stretch.Entry]],
        costs: list[float],
        like: list[int],
        release: float,
        size: float,
        wanted: int,
    ) -> list[int]:
        """Tasks that each group can take at the least sample that covers them all."""
        now = trio.current_time()

        def counts(level: float) -> list[int]:
            return [
                n * stretch.capacity(stretch.gap(q, level, release, size, now), a)
                for q, a, n in zip(queues, costs, like, strict=True)
            ]

        low, high = 0, len(self.stretches) - 1
        while low < high:
            middle = (low + high) // 2
            if sum(counts(self.stretches[middle])) >= wanted:
                high = middle
            else:
                low = middle + 1
        return counts(self.stretches[low])

    # --- starting ---------------------------------------------------------------------

    def fill(self, machine: Machine) -> list[Placement]:
        """The starts for a machine that has just reported."""
        now = trio.current_time()
        work = self.parts.get(machine.part)
        if work is None or not work.loaded:
            return []
        if machine.resting_until < now:
            self._gangs(work, machine.part)
            self._start_arrays(work, machine, now)
        return [
            p for p in machine.placements.values()
            if not p.sent_seq and not p.seen and p.grace is None
        ]

    def _ready(self, work: PartWork, id: str, holding: Holding, now: float) -> bool:
        return (
            holding.pool.count > 0
            and not holding.moving
            and id not in work.blocked
            and holding.not_before <= now
            and holding.job.open
        )

    def _start_arrays(self, work: PartWork, machine: Machine, now: float) -> None:
        room = machine.free()
        if min(room[0], room[2]) <= 1e-6:
            return
        reserved = machine.reserved
        if reserved is not None:
            kept = work.holdings.get(reserved[0])
            if reserved[1] < now or kept is None or not kept.pool.count:
                machine.reserved = reserved = None
        own = work.queues.get(machine.group, {})
        crowd = work.crowds.get(machine.group)
        level = crowd.level if crowd is not None else self.stretches[0]
        rows = []
        for id, holding in work.holdings.items():
            if not holding.pool.count or holding.gang:
                continue
            if not fits(holding.need, room) or not self._ready(work, id, holding, now):
                continue
            if reserved is not None and id != reserved[0]:
                continue
            if not self._machine_ok(holding, machine):
                continue
            spec = holding.spec
            rank, over, due = self._order(holding, level)
            if spec.image and spec.image not in machine.images and machine.kind is not None:
                due += spec.image_gb / max(machine.kind.fetch_rate, 1e-3)
            rows.append((rank, over, due, not own.get(id, 0), id))
        for _, _, _, _, id in sorted(rows):
            holding = work.holdings[id]
            spec, need = holding.spec, holding.need
            limit = min(times(need, room), holding.pool.count)
            if limit:
                limit = min(limit, self._team_room(machine.part, spec))
            if limit and not holding.aged:
                better = self._better_room(work, holding, machine, now)
                limit = min(limit, holding.pool.count - better)
            if spec.spread and spec.tasks > 1 and limit:
                inside = sum(
                    1 for p in holding.placed.values() if p.machine.zone == machine.zone
                )
                limit = min(limit, (spec.tasks + 1) // 2 - inside)
            for _ in range(limit):
                self._place(holding, holding.pool.pop(), machine, self._attempt(machine.part))
                room = (room[0] - need[0], room[1] - need[1], room[2] - need[2])
                self._take_from_queue(work, machine.group, id)
            if limit > 0:
                for group in holding.better:
                    holding.better[group] = max(0, holding.better[group] - limit)
                if holding.aged:
                    holding.aged = False  # it has begun: others' turn
                    if machine.reserved and machine.reserved[0] == id:
                        machine.reserved = None
                if not holding.pool.count:
                    machine.reserved = None

    def _better_room(
        self, work: PartWork, holding: Holding, machine: Machine, now: float
    ) -> int:
        """Tasks of this job that machines of its part with less to lose have room for.

        They report within `report_s`, so the tasks wait that long at most, and the
        dear or sought-after machine stays free for others, or goes back.
        """
        spec, need = holding.spec, holding.need
        if self.report_s > self.policy.defer_share * self.slack(spec):
            return 0  # even one report's wait is dear to this class
        found = holding.better.get(machine.group)
        if found is not None and machine.placements:
            return found
        cost = self.cost(spec, machine)
        room = 0
        for group, crowd in work.crowds.items():
            theirs = self.cost(spec, crowd.machines[0])
            # Between machines as dear as one another, an idle one is left alone so
            # that it can go back, while busy ones have room.
            alike = not machine.placements and theirs < cost * 1.2
            if (theirs >= cost * 0.8 and not alike) or not holding.groups.get(group, True):
                continue
            for other in crowd.machines:
                if other is machine or not other.usable or other.resting_until >= now:
                    continue
                if theirs >= cost * 0.8 and not other.placements:
                    continue
                if other.reserved is not None and other.reserved[1] >= now:
                    continue
                if now - other.heard_at > self.report_s * 1.5:
                    continue
                if fits(need, other.free()) and self._machine_ok(holding, other):
                    room += times(need, other.free())
        if machine.placements:
            holding.better[machine.group] = room
        return room

    def cost(self, spec: wire.JobSpec, machine: Machine) -> float:
        """What an hour of one such task takes of a machine, in money."""
        kind = machine.kind
        if kind is None:
            return math.inf
        price = (kind.spot_price or kind.price) if machine.spot else kind.price
        return price * self.share_of(need_of(spec), kind)

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

    def _attempt(self, part: int) -> int:
        return self.workers.parts[part].attempt()

    def _place(self, holding: Holding, task: int, machine: Machine, attempt: int) -> None:
        placement = Placement(holding.job, task, attempt, machine)
        holding.placed[task] = placement
        self.workers.put(placement)
        holding.since = trio.current_time()

    def _gangs(self, work: PartWork, part: int) -> None:
        now = trio.current_time()
        rows = []
        for id, holding in work.holdings.items():
            job = holding.job
            if not holding.gang or not self._ready(work, id, holding, now):
                continue
            if holding.placed:
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
            rows.append((*self._order(holding, self.stretches[-1]), id))
        for _, _, _, id in sorted(rows):
            holding = work.holdings[id]
            plan = self._gang_plan(holding, part, now)
            if plan is None:
                work.ready.discard(id)
                continue
            job = holding.job
            shared = job.record.attempt
            if job.finished.count or job.local:
                shared = 0
            if shared and not self._all_ready(work, holding, plan, now):
                continue
            attempt = shared or self._attempt(part)
            holding.tried = attempt
            for machine in plan:
                self._place(holding, holding.pool.pop(), machine, attempt)
                if machine.reserved and machine.reserved[0] == id:
                    machine.reserved = None
            holding.aged = False

    def _all_ready(
        self, work: PartWork, holding: Holding, plan: list[Machine], now: float
    ) -> bool:
        """Whether every part of a gang has its room; ours is kept until then.

        Started part by part, a gang would occupy machines while the rest of it waits
        for room, and end as incomplete. A part that isn't heard of late can't tell.
        """
        id, part = holding.job.id, holding.part
        work.ready.add(id)
        fresh = now - self.policy.beat * 4
        for other in {p for _, _, p in holding.job.record.ranges if p != part}:
            theirs = self.parts.get(other)
            if theirs is not None:
                ready = id in theirs.ready
            elif self.noted_at.get(other, -1e9) < fresh or other not in self.notes:
                ready = True
            else:
                ready = id in self.notes[other].ready
            if not ready:
                for machine in plan:
                    machine.reserved = (id, now + self.policy.beat * 4)
                return False
        return True

    def _gang_plan(self, holding: Holding, part: int, now: float) -> list[Machine] | None:
        """A machine for every task at once, in one zone where that is asked; or None."""
        job = holding.job
        spec = job.spec
        need = need_of(spec)
        wanted = holding.pool.count
        if self._team_room(part, spec) < wanted:
            return None
        machines = []
        for machine in self.workers.of_part(part):
            if not machine.usable or machine.resting_until >= now:
                continue
            if machine.reserved and machine.reserved[0] != job.id and machine.reserved[1] >= now:
                continue
            if fits(need, machine.free()) and self._machine_ok(holding, machine):
                machines.append((machine, times(need, machine.free())))
        # The least other use first: a machine with cards is left for work that needs them.
        machines.sort(key=lambda mc: (
            not (mc[0].reserved and mc[0].reserved[0] == job.id),
            mc[0].errors,
            self._waste(need, mc[0]),
            spec.image not in mc[0].images,
            mc[0].slow,
        ))
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

    def _reserve(self, part: int) -> None:
        """Keep the machines that soonest have room free for a gang that waits.

        Arrays take room task by task as it frees up; a gang of equal rank would wait
        until they run dry. One gang at a time, unless one machine holds it whole, and
        none whose room is far off: machines that drain bring nothing meanwhile.
        """
        work = self.parts[part]
        now = trio.current_time()
        machines = [m for m in self.workers.of_part(part) if m.usable and m.resting_until < now]
        kept = {m.reserved[0] for m in machines if m.reserved and m.reserved[1] >= now}
        wide = any((h := work.holdings.get(id)) is not None and h.spec.tasks > 1 for id in kept)
        # Also for a task so large that small ones always take what frees up first.
        waiting = [(h.release, id, h) for id, h in work.holdings.items() if h.gang or h.aged]
        for _, id, holding in sorted(waiting, key=lambda r: r[:2]):
            if holding.placed or id in kept or (
                holding.job.record.attempt and holding.tried == holding.job.record.attempt
            ):
                continue
            if not self._ready(work, id, holding, now) or now - holding.since < self.report_s:
                continue
            wanted = holding.pool.count if holding.gang else 1
            if wanted > 1 and (wide or not self.late(holding.job)):
                continue
            rows = []
            for machine in machines:
                if machine.reserved and machine.reserved[1] >= now:
                    continue
                if self._machine_ok(holding, machine):
                    for n in range(1, wanted + 1):
                        a, b, c = holding.need
                        eta = self._room_at(machine, (a * n, b * n, c * n), now)
                        if eta is None:
                            break
                        rows.append((eta, machine.name, n, machine))
            chosen = sorted(rows, key=lambda r: r[:3])[:wanted]
            if len(chosen) < wanted or not chosen or chosen[-1][0] <= 0:
                continue
            eta = chosen[-1][0]
            if wanted > 1:
                if eta > self.policy.start_within / 8:
                    continue
                if self._team_room(part, holding.spec) < wanted:
                    continue  # its team's limit is what it waits for
                wide = True
            for machine in {row[1]: row[3] for row in chosen}.values():
                machine.reserved = (id, now + eta * 1.5 + self.report_s * 3)
            log.info("kept machines=%d for=%s eta=%.1f", len({r[1] for r in chosen}), id, eta)

    def _room_at(self, machine: Machine, need: Need, now: float) -> float | None:
        """Seconds until a machine has room for a need if nothing more starts there."""
        room = machine.free()
        if fits(need, room):
            return 0.0
        ends = []
        for placement in machine.placements.values():
            ran = now - (placement.run_at or now)
            ends.append((max(1.0, self.estimates.task(placement.spec) - ran), placement.need))
        for end, (a, b, c) in sorted(ends):
            room = (room[0] + a, room[1] + b, room[2] + c)
            if fits(need, room):
                return end
        return None

    def _vacate(self, part: int) -> None:
        """Before the cloud takes a machine back, save and move what won't finish there.

        Left alone, the tasks would lose their progress and then wait for the machine's
        lease to end before anyone may start them again.
        """
        now = trio.current_time()
        work = self.parts[part]
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
                if (self.estimates.task(spec) - ran) * 2 < left:
                    continue
                for each in self._with_gang(work, placement):
                    self.workers.stop(each, each.spec.save if each.spec.checkpoint else 0.0)

    # --- preemption -----------------------------------------------------------------------

    def _preempt(self, part: int) -> None:
        """Make room for waiting work of higher rank, or for a team below its guarantee."""
        work = self.parts[part]
        now = trio.current_time()
        rows = []
        beyond = [t for t in self.teams if self._over_guarantee(t)]
        for id, holding in work.holdings.items():
            if not holding.pool.count or not self._ready(work, id, holding, now):
                continue
            if now - holding.since < self.policy.preempt_after and not holding.gang:
                continue
            spec = holding.spec
            if holding.gang and (
                holding.placed
                or (holding.job.record.attempt and holding.tried == holding.job.record.attempt)
            ):
                continue
            under = self._under(spec)
            if not sum(work.running[holding.rank + 1:]) and not (
                under and any(team != spec.team for team in beyond)
            ):
                continue  # nothing here yields to it
            if self._team_room(part, spec) < (spec.tasks if holding.gang else 1):
                continue
            rows.append((holding.rank, not under, self._due(holding, self.stretches[-1]), id))
        for rank, over, _, id in sorted(rows)[:_PREEMPT]:
            holding = work.holdings[id]
            spec = holding.spec
            if self._kept_for(part, id):
                continue
            wanted = holding.pool.count
            steps = self._steps(holding, part, rank, not over, now)
            if not holding.gang:
                # Where room is free already the next report starts them.
                wanted -= sum(1 for step in steps if not step.victims)
            chosen: list[Step] = []
            zones: dict[str, int] = {}
            caps = {zone: cap for p, zone, cap in holding.job.record.caps if p == part}
            for step in steps:
                zone = step.machine.zone
                if len(chosen) >= wanted or zones.get(zone, 0) >= caps.get(zone, wanted):
                    continue
                if not holding.gang and not step.victims:
                    continue
                zones[zone] = zones.get(zone, 0) + 1
                chosen.append(step)
            if holding.gang and len(chosen) < wanted:
                continue  # stopping some would gain nothing
            victims = [v for step in chosen for v in step.victims]
            if not victims:
                continue
            for victim in victims:
                for each in self._with_gang(work, victim):
                    self.workers.stop(each, each.spec.save)
            grace = max((v.spec.save for v in victims), default=0.0)
            for step in chosen:
                step.machine.reserved = (id, now + grace + self.report_s * 3)
            log.info("preempted for=%s machines=%d tasks=%d", id,
                     len({c.machine.name for c in chosen}), len(victims))

    def _shared(self, placement: Placement) -> bool:
        """A gang over several parts can't be stopped in order from here."""
        return placement.job.record.attempt != 0

    def _with_gang(self, work: PartWork, victim: Placement) -> Iterable[Placement]:
        holding = work.holdings.get(victim.job.id)
        if victim.spec.kind == wire.GANG and holding is not None:
            return list(holding.placed.values())
        return [victim]

    def _steps(
        self, holding: Holding, part: int, rank: int, under: bool, now: float
    ) -> list[Step]:
        """What makes room for one more task each, cheapest first; nothing where it is free."""
        need = holding.need
        out = []
        wanted = holding.pool.count
        for machine in self.workers.of_part(part):
            if not machine.usable or machine.resting_until >= now:
                continue
            if machine.reserved and machine.reserved[0] != holding.job.id and (
                machine.reserved[1] >= now
            ):
                continue
            room: tuple[float, float, float] = machine.free()
            if not under:
                a, b, c = machine.yields(rank)
                if not fits(need, (room[0] + a, room[1] + b, room[2] + c)):
                    continue
            if not self._machine_ok(holding, machine):
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
                    _gang(placement)
                    or not (under and self._beyond(spec, holding.spec.team))
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

    def limit_left(self, spec: wire.JobSpec) -> int:
        """How many more tasks of a job its team's limit allows, over all parts."""
        team = self.teams.get(spec.team)
        if team is None:
            return 0
        cpus, gpus = self.use_anywhere(spec.team)
        room = (
            team.cpus_max - cpus if team.cpus_max else math.inf,
            team.gpus_max - gpus if team.gpus_max else math.inf,
            1.0,
        )
        return times((spec.cpus, spec.gpus, 0.0), room)

    def _beyond(self, spec: wire.JobSpec, other: str) -> bool:
        """Whether a team other than ours runs more than its own guarantee."""
        return spec.team != other and self._over_guarantee(spec.team)

    def _over_guarantee(self, name: str) -> bool:
        team = self.teams.get(name)
        if team is None:
            return False
        cpus, gpus = self.use_anywhere(name)
        return cpus > team.cpus + 1e-6 or (gpus > team.gpus + 1e-6 and team.gpus > 0)

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

    # --- splitting between parts -------------------------------------------------------------

    def _cover(self, note: PartNote, spec: wire.JobSpec, level: int) -> int:
        """n of a part at a stretch sample, from its matrix, less what was sent since."""
        total = 0
        size = stretch.sample_below(self.sizes, self.size(spec))
        debt = sum(w for _, w in self.debts.get(note.part, ()))
        for name, cells in note.matrix:
            type_, zone, spot = name.split("|")
            kind = self.types().get(type_)
            if kind is None or not self._group_ok(spec, kind, zone, spot == "1"):
                continue
            task = self.estimates.task(spec) * self.share_of(need_of(spec), kind)
            total += cells[level][size][stretch.sample_above(self.tasks, task)]
            if debt and total:
                total -= math.ceil(debt / max(task, 1e-6))
                debt = 0.0
        return max(0, total)

    def _group_ok(self, spec: wire.JobSpec, kind: wire.MachineType, zone: str, spot: bool) -> bool:
        if spec.types is not None and kind.name not in spec.types:
            return False
        if spec.zone is not None and spec.zone != zone:
            return False
        if spot and not spec.spot:
            return False
        return fits(need_of(spec), (kind.cpus, kind.gpus, kind.memory))

    def decide(self, spec: wire.JobSpec) -> Plan:
        """On acceptance: keep the job in a part of ours, or NOBODY to send it to the leader.

        A gang's tasks are placed at once wherever there is room for all: it has no
        stretch to compare, and a detour by the leader would only cost time.
        """
        mine = [p for p, w in self.parts.items() if w.loaded and p in self.notes]
        if not mine:
            return NOBODY
        if spec.kind == wire.GANG:
            token = self.members.token(mine[0])
            return (token is not None and self.plan_gang(spec, token)) or NOBODY
        if whole(spec):
            best = self._best_part(spec)
            if best not in mine:
                return NOBODY
            ranges = [(0, spec.tasks, best)]
            return Plan(ranges, self.pick_zone(spec, ranges))
        return Plan(self._keep(spec, mine))

    def _keep(self, spec: wire.JobSpec, mine: list[int]) -> list[tuple[int, int, int]]:
        """The B test on our parts; the leader splits at once what none of them keeps."""
        lowest = max(min((n.stretch for n in self.notes.values()), default=0.0), self.stretches[0])
        for part in mine:
            counts = [
                self._cover(self.notes[part], spec, i) for i in range(len(self.stretches))
            ]
            level = stretch.least_cover(counts, spec.tasks)
            if level is not None and self.stretches[level] <= self.policy.bound * lowest:
                self._owe(part, spec, spec.tasks)
                return [(0, spec.tasks, part)]
        return self.divide(spec) if self.members.leading is not None else []

    def divide(self, spec: wire.JobSpec) -> list[tuple[int, int, int]]:
        """The leader's split: in proportion to availability at the least covering stretch."""
        if whole(spec):
            best = self._best_part(spec)
            return [(0, spec.tasks, best)] if best is not None else []
        notes = [n for n in self.notes.values() if n.matrix]
        if not notes:
            return []
        totals = [
            sum(self._cover(n, spec, i) for n in notes) for i in range(len(self.stretches))
        ]
        level = stretch.least_cover(totals, spec.tasks)
        top = len(self.stretches) - 1 if level is None else level
        found = [self._cover(n, spec, top) for n in notes]
        if sum(found) == 0:
            return []
        out, first = [], 0
        for note, n in zip(notes, stretch.shares(found, min(spec.tasks, sum(found))),
                           strict=True):
            if n:
                out.append((first, first + n, note.part))
                self._owe(note.part, spec, n)
                first += n
        return out

    def _owe(self, part: int, spec: wire.JobSpec, count: int) -> None:
        """Lower a part's availability at once, before its next matrix shows it."""
        kinds = [k for k in self.types().values()
                 if fits(need_of(spec), (k.cpus, k.gpus, k.memory))]
        if kinds:
            share = min(self.share_of(need_of(spec), k) for k in kinds)
            work = count * self.estimates.task(spec) * share
            self.debts.setdefault(part, []).append((trio.current_time(), work))

    def _room(self, note: PartNote, spec: wire.JobSpec, *, yielding: bool) -> int:
        """How many tasks the part's machines could take now (or by preempting)."""
        need = need_of(spec)
        # Notes are renewed a few times a second, and asked about far more often.
        known = self.rooms.setdefault(note.part, {})
        key = (yielding, need, spec.types, spec.zone, spec.spot)
        found = known.get(key)
        if found is not None:
            return found
        total = 0
        ok: dict[Group, bool] = {}
        for machine in note.machines:
            if machine.flag:
                continue
            room = machine.free
            if yielding:
                a, b, c = machine.yielding
                room = (room[0] + a, room[1] + b, room[2] + c)
            if room[0] < need[0] - 1e-6 or room[1] < need[1] - 1e-6:
                continue
            group = (machine.type, machine.zone, machine.spot)
            allowed = ok.get(group)
            if allowed is None:
                kind = self.types().get(machine.type)
                allowed = ok[group] = kind is not None and self._group_ok(
                    spec, kind, machine.zone, machine.spot
                )
            if allowed:
                total += times(need, room)
        known[key] = total
        return total

    def _best_part(self, spec: wire.JobSpec) -> int | None:
        """For a job that stays whole: the part with room now, else the likeliest."""
        rows = []
        for note in self.notes.values():
            able = sum(
                times(need_of(spec), (k.cpus, k.gpus, k.memory))
                for m in note.machines
                if m.flag in ("", "lost", "unheard") and (k := self.types().get(m.type)) is not None
                and self._group_ok(spec, k, m.zone, m.spot)
            )
            if able < spec.tasks:
                continue
            queued = sum(
                count * self.share_ratio(spec, id) for id, count in note.waiting.items()
            )
            owed = sum(1 for at, _ in self.debts.get(note.part, ()))
            now = self._room(note, spec, yielding=False) - owed
            soon = self._room(note, spec, yielding=True) - owed
            rows.append((now < spec.tasks, soon < spec.tasks, queued / able, note.part))
        if not rows:
            return None
        best = min(rows)[3]
        self._owe(best, spec, spec.tasks)
        return best

    def share_ratio(self, spec: wire.JobSpec, other: str) -> float:
        """How much a waiting task of another job stands in this one's way."""
        job = self.book.open.get(other)
        if job is None or _RANK[job.spec.rank] > _RANK[spec.rank]:
            return 0.0
        return min(1.0, job.spec.cpus / max(spec.cpus, 1e-3))

    # --- loops -----------------------------------------------------------------------------

    async def run(self) -> None:
        """Allot, preempt, refresh notes; what is due is worked out anew each time."""
        while True:
            with trio.move_on_after(self.report_s / 4):
                await self.wake.wait()
            self.wake = trio.Event()
            # Starts travel with reports: planning much more often than these come is idle.
            await trio.sleep(self.report_s / 10)
            try:
                spent = 0.0
                for part, work in list(self.parts.items()):
                    if work.loaded and part in self.parts:
                        at = trio.current_time()
                        self._survey(part)
                        self._allot(part)
                        self._gangs(work, part)
                        self._vacate(part)
                        self._preempt(part)
                        self._reserve(part)
                        spent += trio.current_time() - at
                        await trio.sleep(0)  # reports come before planning
                spent += self._refresh()
                # Planning takes a bounded share of the processor, whatever its size.
                await trio.sleep(min(self.report_s, spent * _REST))
            except Exception:
                log.exception("split fault")

    async def run_splitting(self) -> None:
        """The leader gives out jobs that nobody kept; owners move what another can start."""
        spent = 0.0
        while True:
            await trio.sleep(max(0.2, min(self.report_s, spent * _REST)))
            at = trio.current_time()
            try:
                if self.members.leading is not None:
                    await self._assign()
                await self._return_whole()
                await self._rebalance()
                await self._level()
                await self._move_shares()
                spent = min(self.report_s, trio.current_time() - at)
            except StoreDown as error:
                log.debug("split not written: %s", error)
                await trio.sleep(0.3)
            except Exception:
                log.exception("splitting fault")

    async def _assign(self) -> None:
        token = self.members.leading
        waiting = [
            job for job in self.book.open.values()
            if sum(b - a for a, b, _ in job.record.ranges) < job.record.tasks
        ]
        # In the order of starts: what is planned first gets the room.
        waiting.sort(key=lambda job: (
            not self.late(job), _RANK[job.spec.rank], not self._under(job.spec),
            self.release(job),
        ))
        for job in waiting:
            have = sum(b - a for a, b, _ in job.record.ranges)
            # A job may end while the write for the one before it is under way.
            if have >= job.record.tasks or token is None or not job.open:
                continue
            if whole(job.spec):
                if not have:
                    await self._assign_whole(job, token)
                continue
            rest = job.spec if not have else msgspec.structs.replace(
                job.spec, tasks=job.record.tasks - have
            )
            found = self.divide(rest)
            if not found:
                continue
            ranges = merge([*job.record.ranges, *((a + have, b + have, p) for a, b, p in found)])
            await self._write_ranges(job, {"pt/parts/0": token}, ranges)

    async def _assign_whole(self, job: Job, token: int) -> None:
        """A job whose tasks constrain one another: to one part, or reserved over several."""
        spec = job.spec
        plan: Plan | None = None
        if spec.kind == wire.GANG:
            plan = self.plan_gang(spec, token, job)
            if plan is None and spec.tasks == 1 and self.limit_left(spec):
                # It needs one machine, and that can be kept for it.
                plan = self._by_capacity(spec)
        else:
            best = self._best_part(spec)
            if best is not None:
                ranges = [(0, spec.tasks, best)]
                zone = self.pick_zone(spec, ranges)
                if zone is not None or not spec.one_zone or spec.tasks == 1:
                    plan = Plan(ranges, zone)
        if plan is not None:
            await self._write_ranges(job, {"pt/parts/0": token}, plan.ranges, zone=plan.zone,
                                     attempt=plan.attempt, caps=plan.caps)

    def late(self, job: Job) -> bool:
        """Whether a job has waited so long that room must be kept for it."""
        waited = trio.current_time() - self.release(job)
        return waited > self.policy.start_within / 4

    def plan_gang(
        self, spec: wire.JobSpec, token: int, job: Job | None = None
    ) -> Plan | None:
        """Room for a whole gang: in one part if one has it, else over several.

        Over several parts all start the same attempt; its number rests on a token of
        this node, so nobody else ever uses it.
        """
        if self.limit_left(spec) < spec.tasks:
            return None
        now = trio.current_time()
        self.booked = [row for row in self.booked if now - row[0] < self.policy.beat * 3]
        under = self._under(spec)
        modes = [FREE]
        if spec.rank != wire.RANKS[-1]:
            modes.append(YIELDING)
        if under and len(self.teams) > 1:
            modes.append(OVER)
        if job is not None and self.late(job) and self._may_keep(job.id, now):
            modes.append(KEPT)
        for mode in modes:
            rooms = self._rooms(spec, mode)
            found = plan_rooms(rooms, spec.tasks, one_zone=spec.one_zone, spread=spec.spread)
            if found is None:
                continue
            for key, count in found.items():
                self.booked.append((now, key, need_of(spec), count))
            parts = sorted({part for part, _ in found})
            ranges, first = [], 0
            for part in parts:
                n = sum(count for (p, _), count in found.items() if p == part)
                ranges.append((first, first + n, part))
                first += n
            attempt = 0
            if len(parts) > 1:
                self.counter += 1
                attempt = (token << 24) + (1 << 23) + self.counter
            if mode == KEPT:
                self.keeping = (spec.id, now)
            zones = {zone for _, zone in found}
            log.info("gang planned job=%s parts=%d attempt=%d mode=%d", spec.id, len(parts),
                     attempt, mode)
            return Plan(
                ranges, zones.pop() if spec.one_zone else None, attempt,
                [(p, zone, n) for (p, zone), n in found.items()]
                if spec.spread and len(parts) > 1 else [],
            )
        return None

    def _may_keep(self, id: str, now: float) -> bool:
        """Room is kept for one gang at a time: two could each hold half of the other's."""
        if self.keeping is None or self.keeping[0] == id:
            return True
        job = self.book.open.get(self.keeping[0])
        waits = job is not None and not any(job.id in n.running for n in self.notes.values())
        return not waits or now - self.keeping[1] > self.policy.start_within / 4

    def _by_capacity(self, spec: wire.JobSpec) -> Plan | None:
        """The part whose machines, were they empty, hold the gang best: it keeps room."""
        best = self._best_part(spec)
        if best is None:
            return None
        ranges = [(0, spec.tasks, best)]
        zone = self.pick_zone(spec, ranges)
        if zone is None and spec.one_zone and spec.tasks > 1:
            return None
        log.info("gang waits for room job=%s part=%d zone=%s", spec.id, best, zone)
        return Plan(ranges, zone)

    def _rooms(self, spec: wire.JobSpec, mode: int) -> dict[tuple[int, str], int]:
        """Tasks that each part could start in each zone, less what was booked just now."""
        need = need_of(spec)
        rooms: dict[tuple[int, str], int] = {}
        for note in self.notes.values():
            for machine in note.machines:
                kind = self.types().get(machine.type)
                if machine.flag or kind is None:
                    continue
                a, b, c = machine.free
                if mode == KEPT and machine.name not in note.kept:
                    a, b, c = kind.cpus, kind.gpus, kind.memory
                elif mode in (YIELDING, OVER) and machine.name not in note.kept:
                    a, b, c = (x + y for x, y in zip((a, b, c), machine.yielding, strict=True))
                    if mode == OVER:
                        a, b, c = (x + y for x, y in zip((a, b, c), machine.over, strict=True))
                if not fits(need, (a, b, c)):
                    continue
                if self._group_ok(spec, kind, machine.zone, machine.spot):
                    key = (note.part, machine.zone)
                    rooms[key] = rooms.get(key, 0) + times(need, (a, b, c))
        for _, key, (a, b, c), count in self.booked:
            if key in rooms:
                share = max((x / y for x, y in zip((a, b, c), need, strict=True) if y), default=0)
                rooms[key] = max(0, rooms[key] - math.ceil(count * min(1.0, share)))
        return rooms

    async def _return_whole(self) -> None:
        """A whole job that can't start here goes back to the leader, for a fresh look."""
        now = trio.current_time()
        limit = self.settings.deployment.workers.gang_wait_s / 2
        for part, work in list(self.parts.items()):
            token = self.members.token(part)
            if not work.settled or token is None:
                continue
            for holding in list(work.holdings.values()):
                job = holding.job
                if not job.open or not whole(job.spec) or holding.moving:
                    continue
                if holding.placed:
                    if job.record.attempt and not covered(job):
                        # Another part gave up: this attempt can never be complete.
                        for placement in list(holding.placed.values()):
                            self.workers.stop(placement, job.spec.save)
                    continue
                if not holding.ranges or job.finished.count or job.local:
                    continue
                failed = job.record.attempt and (
                    holding.tried == job.record.attempt or not covered(job)
                )
                patience = limit
                if self._kept_for(part, job.id):
                    patience = limit * 4
                elif holding.gang and not self.late(job) and job.id not in work.ready and (
                    self.limit_left(job.spec) >= job.spec.tasks
                ):
                    # What it was planned on went to others: look elsewhere at once.
                    patience = self.report_s * 2
                if not failed and now - holding.since < patience:
                    continue
                holding.since = now
                holding.moving = True
                work.ready.discard(job.id)
                try:
                    rest = [r for r in job.record.ranges if r[2] != part]
                    await self._write_ranges(job, {f"pt/parts/{part}": token}, rest,
                                             zone=job.record.zone if rest else None)
                except StoreDown as error:
                    await self._read_back(error)
                finally:
                    holding.moving = False
                    if job.open:
                        self._hold(job, part)
                        holding.rebuild()

    def _kept_for(self, part: int, id: str) -> bool:
        now = trio.current_time()
        return any(m.reserved and m.reserved[0] == id and m.reserved[1] >= now
                   for m in self.workers.of_part(part))

    async def _read_back(self, error: StoreDown) -> None:
        """After a commit without an answer, nothing goes on until the store has told."""
        while error.unknown:
            try:
                await self.replica.catch_up(await self.members.store.revision(), 10.0)
                return
            except StoreDown:
                await trio.sleep(0.3)

    async def _write_ranges(
        self,
        job: Job,
        guard: dict[str, int],
        ranges: list[tuple[int, int, int]],
        **more: Any,
    ) -> bool:
        key = f"pt/jobs/{job.id}"
        # Our copy applies our own writes ahead of the watch: a part of ours that was
        # taken over meanwhile must not be given tasks that its new owner starts too.
        for _, _, part in ranges:
            token = self.members.token(part)
            if token is not None:
                guard[f"pt/parts/{part}"] = token
        # Moves are for the better, assignments for going at all.
        priority = tokens.PROGRESS if covered(job) and not more else tokens.ACCEPTANCES
        record = msgspec.structs.replace(job.record, ranges=ranges, **more)
        if not job.chunked:
            record.finished = job.finished.text()
        return await self.book.commit(
            {key: job.version, **guard}, [Write(key, encode(record))], priority=priority
        )

    async def _rebalance(self) -> None:
        """Give unstarted tasks to a part that could start them now and has none queued."""
        now = trio.current_time()
        if now - self.balanced_at < self.policy.beat:
            return  # peers' notes are no newer
        self.balanced_at = now
        for part, work in list(self.parts.items()):
            note = self.notes.get(part)
            if note is None or not work.settled:
                continue
            rows = [
                (h.rank, h.release, id) for id, h in work.holdings.items()
                if h.pool.count and self._ready(work, id, h, now) and now - h.since >= 0.5
            ]
            for _, _, id in sorted(rows)[:_BALANCE]:
                holding = work.holdings.get(id)
                if holding is None or not self._ready(work, id, holding, now):
                    continue
                spec = holding.job.spec
                waiting = holding.pool.count
                if whole(spec) and (
                    holding.placed or waiting < spec.tasks or holding.job.record.attempt
                ):
                    continue
                if spec.tasks > 1 and spec.one_zone:
                    continue  # its zone is fixed: it goes back to the leader instead
                here = self._room(note, spec, yielding=False)
                if not whole(spec):
                    here = min(here, self._team_room(part, spec))
                elif id in note.reserved:
                    continue
                # A whole job stays where it has room: share comes to it. Sent after
                # share, it would be in another part each time that share arrives.
                if here >= waiting or len(holding.job.record.ranges) > 40:
                    continue
                for other in self.notes.values():
                    if other.part == part or not other.settled:
                        continue
                    there = self._room(other, spec, yielding=False)
                    if not whole(spec):
                        there -= sum(
                            n for j, n in other.waiting.items() if self.share_ratio(spec, j) > 0
                        )
                    debt = sum(1 for _ in self.debts.get(other.part, ()))
                    count = min(there, waiting - here)
                    if whole(spec):
                        count = spec.tasks if there - debt >= spec.tasks else 0
                    elif debt:
                        count = 0
                    if count > 0:
                        await self._give(holding, other.part, count)
                        break

    def drain_time(self, note: PartNote, spec: wire.JobSpec) -> tuple[float, float]:
        """Seconds that a part needs for what waits there ahead of such a job, and its width.

        Counted in cards for jobs that take cards, else in CPUs, over the machines
        that may run the job.
        """
        cards = spec.gpus > 0
        width = 0.0
        for machine in note.machines:
            kind = self.types().get(machine.type)
            if kind is not None and machine.flag in ("", "new") and self._group_ok(
                spec, kind, machine.zone, machine.spot
            ):
                width += kind.gpus if cards else kind.cpus
        if not width:
            return math.inf, 0.0
        work = 0.0
        for id, count in note.waiting.items():
            job = self.book.open.get(id)
            if job is None or _RANK[job.spec.rank] > _RANK[spec.rank]:
                continue
            amount = job.spec.gpus if cards else job.spec.cpus
            work += count * amount * self.estimates.task(job.spec)
        return work / width, width

    async def _level(self) -> None:
        """Even out the parts' queues: the design's idle machines, one level up.

        A part splits a job by what its machines promised on arrival; boots, lost
        machines and wrong estimates change that while the tasks still wait.
        """
        now = trio.current_time()
        if now - self.levelled_at < self.policy.beat:
            return
        self.levelled_at = now
        for part, work in list(self.parts.items()):
            note = self.notes.get(part)
            if note is None or not work.settled:
                continue
            rows = [
                (h.pool.count * h.job.spec.cpus, id)
                for id, h in work.holdings.items()
                if self._ready(work, id, h, now) and not whole(h.job.spec)
                and len(h.job.record.ranges) <= 40
            ]
            for _, id in sorted(rows, reverse=True)[:2]:
                holding = work.holdings[id]
                spec = holding.job.spec
                here, width = self.drain_time(note, spec)
                best: tuple[float, int] | None = None
                for other in self.notes.values():
                    if other.part == part or not other.settled or other.part in self.debts:
                        continue
                    there, _ = self.drain_time(other, spec)
                    if best is None or there < best[0]:
                        best = (there, other.part)
                if best is None or here <= best[0] * 1.25 + self.report_s * 2:
                    continue
                amount = spec.gpus if spec.gpus > 0 else spec.cpus
                task = max(1e-6, amount * self.estimates.task(spec))
                count = holding.pool.count  # all, where no machine here may run it
                if width:
                    count = min(count, int((here - best[0]) / 2 * width / task))
                if count > 0:
                    await self._give(holding, best[1], count)
                    break

    async def _give(self, holding: Holding, to: int, count: int) -> None:
        """Tasks that are nowhere go to another part, in one conditional write."""
        job, part = holding.job, holding.part
        token = self.members.token(part)
        if token is None:
            return
        carved = holding.pool.carve(count)
        holding.moving = True
        try:
            ranges: list[tuple[int, int, int]] = []
            for a, b, p in job.record.ranges:
                if p != part:
                    ranges.append((a, b, p))
                    continue
                cuts = sorted((max(a, x), min(b, y)) for x, y in carved if x < b and y > a)
                for x, y in cuts:
                    ranges += [(a, x, part), (x, y, to)]
                    a = y
                ranges.append((a, b, part))
            if await self._write_ranges(job, {f"pt/parts/{part}": token}, merge(ranges)):
                self._owe(to, job.spec, count)
                log.debug("gave job=%s tasks=%d from=%d to=%d", job.id, count, part, to)
        except StoreDown as error:
            # Perhaps it was done: only the store can say whose the tasks are now.
            await self._read_back(error)
        finally:
            holding.moving = False
            if job.open:
                holding.rebuild()

    # --- team limits: durable shares per part ------------------------------------------------

    def _on_shares(self, key: str, value: bytes | None, version: int) -> None:
        self.shares = (
            {} if value is None
            else msgspec.json.decode(value, type=dict[str, list[tuple[float, float]]])
        )

    async def _move_shares(self) -> None:
        """Give a part with too small a share what this part neither uses nor waits for.

        One commit lowers our share and raises the other's; we count as lowered from
        before it is sent until the store is known to say otherwise.
        """
        for part, work in list(self.parts.items()):
            token = self.members.token(part)
            if not work.settled or token is None or part not in self.notes:
                continue
            for team in self.teams.values():
                if not self._limited(team.name) or (part, team.name) in self.giving:
                    continue
                spare = self._spare(part, work, team.name)
                for other in self.notes.values():
                    if other.part == part:
                        continue
                    short, least = self._short(other, team.name)
                    give = (min(spare[0], short[0]), min(spare[1], short[1]))
                    hungry = self.hungry.get(team.name)
                    if hungry is not None:
                        if hungry[1] != other.part:
                            continue  # first the gang that waits for its team's limit
                    elif not fits((least[0], least[1], 0.0), (give[0], give[1], 1.0)):
                        continue  # not enough to start even one task there
                    if give[0] > 1e-6 or give[1] > 1e-6:
                        await self._give_share(part, token, other.part, team, give)
                        break

    def _spare(self, part: int, work: PartWork, team: str) -> tuple[float, float]:
        share, used = self._share(part, team), self.use(part, team)
        cpus, gpus = share[0] - used[0], share[1] - used[1]
        for holding in work.holdings.values():
            spec = holding.job.spec
            if spec.team == team and holding.pool.count and not self._held_back(spec):
                count = self._startable(self.notes[part], spec, holding.pool.count)
                # What is too little for one more task here may complete one elsewhere.
                count = min(count, times((spec.cpus, spec.gpus, 0.0), (cpus, gpus, 1.0)))
                cpus -= spec.cpus * count
                gpus -= spec.gpus * count
        return (
            cpus if 0 < cpus < math.inf else 0.0,
            gpus if 0 < gpus < math.inf else 0.0,
        )

    def _startable(self, note: PartNote, spec: wire.JobSpec, waiting: int) -> int:
        """How many waiting tasks machines there have room for, by preemption for gangs.

        Share that goes to tasks without room would lie idle there while other parts
        have room and no share.
        """
        return min(waiting, self._room(note, spec, yielding=spec.kind == wire.GANG))

    def _short(
        self, note: PartNote, team: str
    ) -> tuple[tuple[float, float], tuple[float, float]]:
        """What a part's waiting tasks of a team lack of share; and for one task, the least."""
        share, used = self._share(note.part, team), note.use.get(team, (0.0, 0.0))
        left = (share[0] - used[0], share[1] - used[1])
        cpus = gpus = 0.0
        least = (math.inf, math.inf)
        for id, count in note.waiting.items():
            job = self.book.open.get(id)
            if job is None or job.spec.team != team:
                continue
            spec = job.spec
            count = self._startable(note, spec, count)
            if not count:
                continue
            cpus, gpus = cpus + spec.cpus * count, gpus + spec.gpus * count
            at_once = spec.tasks if spec.kind == wire.GANG else 1
            lack = (
                max(0.0, spec.cpus * at_once - left[0]),
                max(0.0, spec.gpus * at_once - left[1]),
            )
            least = min(least, lack)
        if least[0] == math.inf:
            return (0.0, 0.0), (0.0, 0.0)
        return (max(0.0, cpus - left[0]), max(0.0, gpus - left[1])), least

    async def _give_share(
        self, part: int, token: int, to: int, team: Team, give: tuple[float, float]
    ) -> None:
        rows = self.shares.get(team.name) or [
            (team.cpus_max / self.count, team.gpus_max / self.count)
        ] * self.count
        moved = list(rows)
        moved[part] = (rows[part][0] - give[0], rows[part][1] - give[1])
        moved[to] = (rows[to][0] + give[0], rows[to][1] + give[1])
        value = encode({**self.shares, team.name: moved})
        conditions = {
            f"pt/parts/{part}": token,
            "pt/shares": self.replica.version("pt/shares"),
        }
        self.giving[(part, team.name)] = give
        try:
            await self.book.commit(
                conditions, [Write("pt/shares", value)], priority=tokens.ACCEPTANCES
            )
        except StoreDown as error:
            await self._read_back(error)
        finally:
            self.giving.pop((part, team.name), None)

    # --- notes for peers and the leader ---------------------------------------------------------

    def take_beat(self, beat: Beat) -> None:
        for note in beat.parts:
            owner = self.members.owner(note.part)
            if owner != beat.node:
                continue
            self.rooms.pop(note.part, None)
            self.noted_at[note.part] = trio.current_time()
            old = self.notes.get(note.part)
            if not note.matrix and old is not None:
                note.matrix = old.matrix
            self.notes[note.part] = note

    def _refresh(self) -> float:
        """Renew our own notes, the matrices only once a period; the time that it took."""
        at = trio.current_time()
        now = trio.current_time()
        for part, rows in list(self.debts.items()):
            self.debts[part] = [r for r in rows if now - r[0] < self.policy.beat * 3]
            if not self.debts[part]:
                del self.debts[part]
        renew = now - self.matrix_at >= self.policy.period
        if renew:
            self.matrix_at = now
        beyond = set()
        if len(self.teams) > 1:
            beyond = {t for t in self.teams if self._over_guarantee(t)}
        for part, work in self.parts.items():
            if renew:
                self._log_load(part, work)
            old = self.notes.get(part)
            machines = []
            kept: list[str] = []
            for machine in self.workers.of_part(part):
                free = machine.free() if machine.usable else (0.0, 0.0, 0.0)
                if machine.reserved and machine.reserved[1] >= now:
                    free = (0.0, 0.0, 0.0)
                a, b, c = machine.yielding[-1]
                if machine.reserved and machine.reserved[1] >= now:
                    kept.append(machine.name)
                machines.append(MachineNote(
                    machine.name, machine.type, machine.zone, machine.spot,
                    (max(0.0, free[0]), max(0.0, free[1]), max(0.0, free[2])), (a, b, c),
                    len(machine.placements), now - machine.idle_since,
                    self._flag(machine, now), machine.slow, self._over_on(machine, beyond),
                ))
            waiting: dict[str, int] = {}
            running: dict[str, int] = {}
            queued = 0.0
            for id, h in work.holdings.items():
                if h.pool.count:
                    waiting[id] = h.pool.count
                    queued += h.pool.count * self.estimates.task(h.spec) * h.need[0]
                active = sum(1 for p in h.placed.values() if p.state == wire.RUNNING)
                if active:
                    running[id] = active
            hold = self.workers.parts.get(part)
            note = PartNote(part, hold.token if hold else 0, work.settled, queued,
                            0.0, machines, [], waiting)
            note.running = running
            note.kept = kept
            work.ready = {
                id for id in work.ready
                if (gang := work.holdings.get(id)) is not None and gang.job.record.attempt
            }
            note.ready = list(work.ready)
            note.reserved = [
                m.reserved[0] for m in self.workers.of_part(part)
                if m.reserved and m.reserved[1] >= now
            ]
            note.use = {t: self.use(part, t) for t in self.teams if self._limited(t)}
            if renew or old is None or not old.matrix:
                note.stretch = min((c.level for c in work.crowds.values()), default=0.0)
                for (type_, zone, spot), crowd in work.crowds.items():
                    queue = self._queue(work, crowd, len(wire.RANKS))
                    note.matrix.append((f"{type_}|{zone}|{int(spot)}", stretch.matrix(
                        [queue], self.stretches, self.sizes, self.tasks, now,
                        len(crowd.machines),
                    )))
                self.debts.pop(part, None)
            else:
                note.matrix, note.stretch = old.matrix, old.stretch
            self.notes[part] = note
            self.rooms.pop(part, None)
        self._find_hungry()
        return trio.current_time() - at

    def _over_on(self, machine: Machine, beyond: set[str]) -> Need:
        """Held by teams beyond their guarantee, apart from what yields anyway."""
        a = b = c = 0.0
        if beyond:
            last = len(wire.RANKS) - 1
            for placement in machine.placements.values():
                if placement.team in beyond and placement.rank != last and not _gang(placement):
                    x, y, z = placement.need
                    a, b, c = a + x, b + y, c + z
        return (a, b, c)

    def _log_load(self, part: int, work: PartWork) -> None:
        """What is free and what waits, for people who read logs."""
        rooms: dict[str, list[float]] = {}
        for machine in self.workers.of_part(part):
            if machine.usable and machine.kind is not None:
                free = machine.free()
                row = rooms.setdefault(f"{machine.type}{'*' if machine.spot else ''}", [0, 0, 0])
                row[0] += 1
                row[1] += free[0]
                row[2] += free[1]
        waits: dict[str, int] = {}
        for holding in work.holdings.values():
            if holding.pool.count:
                name = holding.job.spec.job_class
                waits[name] = waits.get(name, 0) + holding.pool.count
        text = " ".join(f"{t}:{int(n)}x,{c:g}c,{g:g}g" for t, (n, c, g) in sorted(rooms.items()))
        teams = " ".join(
            f"{t}:{self.use(part, t)[0]:g}/{self._share(part, t)[0]:g}"
            for t in self.teams if self._limited(t)
        )
        log.info("load part=%d free=[%s] waiting=%s share=[%s]", part, text, waits, teams)

    def _flag(self, machine: Machine, now: float) -> str:
        if machine.lost:
            return "lost" if machine.confirmed else "unheard"
        if machine.notice_at is not None:
            return "notice"
        if machine.deaf:
            return "deaf"
        if machine.drain:
            return "drain"
        if machine.resting_until >= now:
            return "sick"
        return "" if machine.usable else "new"

    def own_notes(self) -> list[PartNote]:
        return [self.notes[p] for p in self.parts if p in self.notes]
