"""A machine, what is placed on it, and a shard as its leader holds it: plain state."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

import trio

from ..jobs.index import Job
from ..jobs.resources import NO_RESOURCES, Resources, resource_request
from ..protocol import agent_api, cloud_api, user_api

# Answers without effect after which a machine is taken for one that hears nothing.
MAX_UNACKNOWLEDGED = 2


class MachineGroupKey(NamedTuple):
    """What machines of one group have in common: they are alike but for their state."""

    type: str
    zone: str
    spot: bool

    def text(self) -> str:
        """The key as peer heartbeats carry it."""
        return f"{self.type}|{self.zone}|{int(self.spot)}"

    @classmethod
    def parse(cls, text: str) -> MachineGroupKey:
        """Read what `text` gave."""
        type_, zone, spot = text.split("|")
        return cls(type_, zone, spot == "1")


class Placement:
    """A task on a machine, from the order to start it until it is known to be gone."""

    __slots__ = (
        "at",
        "attempt",
        "grace",
        "job",
        "key",
        "machine",
        "rank",
        "resources",
        "run_at",
        "seen",
        "spec",
        "start_seq",
        "state",
        "stop_sent_at",
        "task",
        "team",
    )

    def __init__(self, job: Job, task: int, attempt: int, machine: Machine):
        self.job = job
        self.task = task
        self.attempt = attempt
        self.machine = machine
        self.spec = job.spec  # kept here: the record drops it once the job is over
        self.resources = resource_request(job.spec)
        self.state = ""  # as last reported; "" until the first report with it
        self.seen = False
        self.start_seq = 0  # the report that the start answered; 0: not sent yet
        self.at = trio.current_time()
        self.run_at: float | None = None
        self.grace: float | None = None  # not None: to be stopped
        self.stop_sent_at = 0.0
        self.team = job.spec.team
        self.rank = user_api.RANKS.index(job.spec.rank)
        self.key = f"{job.id}/{task}"


class Machine:
    """A machine as the leader of its shard knows it."""

    __slots__ = (
        "address",
        "answered_at",
        "asked",
        "confirmed",
        "drain",
        "epoch",
        "errors",
        "exits",
        "failed_at",
        "failed_jobs",
        "forgot_at",
        "group",
        "idle_since",
        "images",
        "last_heartbeat_at",
        "lost",
        "machine_type",
        "name",
        "notice_at",
        "orphans",
        "placements",
        "quarantined_until",
        "recorded",
        "reported",
        "reserved",
        "seq",
        "shard",
        "slow",
        "spot",
        "type",
        "unacknowledged",
        "used",
        "yielding",
        "zone",
    )

    def __init__(self, name: str, shard: int, type: str, zone: str, spot: bool, address: str):
        now = trio.current_time()
        self.name = name
        self.shard = shard
        self.type = type
        self.zone = zone
        self.spot = spot
        self.group = MachineGroupKey(type, zone, spot)
        self.address = address
        self.machine_type: cloud_api.MachineType | None = None
        self.epoch = 0
        self.seq = -1
        self.confirmed = False  # a report has carried our token
        self.recorded = False  # in the state store
        self.answered_at = now
        self.last_heartbeat_at = now
        self.idle_since = now
        self.notice_at: float | None = None
        self.placements: dict[str, Placement] = {}
        self.used = [0.0, 0.0, 0.0]  # by its placements
        self.yielding = [[0.0, 0.0, 0.0] for _ in user_api.RANKS]  # the same, by rank
        self.exits: dict[str, tuple[int, str]] = {}  # ended tasks to be forgotten
        # Tasks of jobs that were over before this node took the shard: it knows no more of
        # them than that they must end.
        self.orphans: dict[str, int] = {}
        self.images: dict[str, float] = {}
        self.failed_jobs: dict[str, int] = {}  # since a task was last done here
        self.failed_at: dict[str, float] = {}  # when each of them did so last
        self.errors = 0
        self.forgot_at = -1e9
        self.quarantined_until = -1e9
        self.drain = False
        self.lost = False
        self.reserved: tuple[str, float] | None = None  # room kept for a job, until when
        self.slow = 1.0
        self.reported = (0, -1)  # (session, seq) of the newest report, answers apart
        self.asked: list[agent_api.Command] = []  # whose effect the next report must show
        self.unacknowledged = 0

    def free(self) -> Resources:
        """What no placement takes."""
        if self.machine_type is None:
            return NO_RESOURCES
        used, machine_type = self.used, self.machine_type
        return Resources(
            machine_type.cpus - used[0], machine_type.gpus - used[1], machine_type.memory - used[2]
        )

    def yields(self, rank: int) -> Resources:
        """What work of lower rank than this one holds."""
        a = b = c = 0.0
        for x, y, z in self.yielding[rank + 1 :]:
            a, b, c = a + x, b + y, c + z
        return Resources(a, b, c)

    def count(self, placement: Placement, sign: float) -> None:
        """Add a placement to the sums, or take it off them."""
        by_rank = self.yielding[placement.rank]
        for i, amount in enumerate(placement.resources):
            self.used[i] += sign * amount
            by_rank[i] += sign * amount
        if not self.placements:
            # Sums of many floats drift: an empty machine is exactly empty.
            self.used = [0.0, 0.0, 0.0]
            self.yielding = [[0.0, 0.0, 0.0] for _ in user_api.RANKS]

    @property
    def usable(self) -> bool:
        """Whether tasks may start on it."""
        return (
            self.confirmed
            and self.recorded
            and self.machine_type is not None
            and not self.drain
            and not self.lost
            and not self.unresponsive
            and self.notice_at is None
        )

    @property
    def unresponsive(self) -> bool:
        """Its reports arrive, but what we say doesn't reach it."""
        return self.unacknowledged >= MAX_UNACKNOWLEDGED


class Load:
    """A job's tasks on the like machines of a shard, kept up with every change.

    A planning round asks for the sums of thousands of tasks several times a second.
    """

    __slots__ = ("begun", "count", "rank", "resources", "running")

    def __init__(self, resources: Resources, rank: int):
        self.resources = resources
        self.rank = rank
        self.count = 0
        self.running = 0  # those that have been seen running
        self.begun = 0.0  # the sum of when they were

    def left(self, seconds: float, now: float) -> float:
        """Seconds that they still need, if one takes `seconds`."""
        running = max(0.1 * self.running, self.running * (seconds - now) + self.begun)
        return (self.count - self.running) * seconds + running


class LedShard:
    """A part that this node owns."""

    def __init__(self, shard: int, token: int):
        self.shard = shard
        self.token = token
        self.counter = 0
        self.acquired_at = trio.current_time()
        self.loaded = False  # our copy includes everything up to the failover
        self.suspects: set[str] = set()  # recorded machines not yet heard since
        self.suspect_groups: Counter[MachineGroupKey] = Counter()
        self.reconciled = False

    def suspect(self, machine: Machine) -> None:
        """A recorded machine that may hold tasks of an earlier leader."""
        if machine.name not in self.suspects:
            self.suspects.add(machine.name)
            self.suspect_groups[machine.group] += 1

    def clear_suspect(self, machine: Machine) -> bool:
        """The machine is heard or gone; True if it was the last one of its group."""
        self.suspects.discard(machine.name)
        self.suspect_groups[machine.group] -= 1
        if self.suspect_groups[machine.group]:
            return False
        del self.suspect_groups[machine.group]
        return True

    def attempt(self) -> int:
        """Tokens are unique over all shards and rise, so attempts do too."""
        self.counter += 1
        return (self.token << 24) + self.counter
