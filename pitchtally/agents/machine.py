"""A machine, and the placements of tasks on it: plain state, without I/O.

`Machine` and `Placement` refer to each other, so they share a module. Times are trio's clock,
in seconds, unless a name says otherwise.
"""

from __future__ import annotations

from typing import NamedTuple

import trio

from ..config.clock import LONG_AGO
from ..jobs.index import Job
from ..jobs.resources import NO_RESOURCES, Resources, resource_request
from ..protocol import agent_api, cloud_api, user_api

# Responses in a row without any effect, after which a machine counts as unreachable.
MAX_INEFFECTIVE_RESPONSES = 2


class MachineGroupKey(NamedTuple):
    """What the machines of one group have in common: they differ in their state alone."""

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


class Reservation(NamedTuple):
    """Capacity of a machine kept for one job until a time, for want of an earlier start."""

    job_id: str
    until: float


class HeartbeatNumber(NamedTuple):
    """The number of an agent heartbeat: of two, the greater was sent later."""

    epoch: int
    seq: int


class TaskExit(NamedTuple):
    """A task that an agent reports as exited, until it is told to forget it."""

    attempt: int
    cause: str


class Placement:
    """A task on a machine, from the decision to start it until it certainly isn't there."""

    __slots__ = (
        "attempt",
        "job",
        "key",
        "machine",
        "observed",
        "placed_at",
        "rank",
        "resources",
        "running_since",
        "spec",
        "start_heartbeat_seq",
        "state",
        "stop_commanded_at",
        "stop_grace",
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
        self.state = ""  # as the agent last reported it; "" until it does
        self.observed = False  # the agent has listed it
        # `seq` of the heartbeat whose response carried the start command; 0: not sent yet.
        self.start_heartbeat_seq = 0
        self.placed_at = trio.current_time()  # of the decision, then of the start command
        self.running_since: float | None = None
        self.stop_grace: float | None = None  # seconds; not None: to be stopped
        self.stop_commanded_at = 0.0  # 0: not since the grace was last shortened
        self.team = job.spec.team
        self.rank = user_api.RANKS.index(job.spec.rank)
        self.key = f"{job.id}/{task}"


class Machine:
    """A machine as the leader of its shard knows it."""

    __slots__ = (
        "address",
        "awaited_commands",
        "cached_images",
        "confirmed",
        "consecutive_errors",
        "draining",
        "epoch",
        "exits",
        "exits_acknowledged_at",
        "failures_by_job",
        "group",
        "idle_since",
        "ineffective_responses",
        "last_failure_at",
        "last_heartbeat",
        "last_heartbeat_at",
        "lease_renewed_at",
        "lost",
        "machine_type",
        "name",
        "orphans",
        "placements",
        "preemption_at",
        "quarantined_until",
        "recorded",
        "reservation",
        "seq",
        "shard",
        "spot",
        "type",
        "used",
        "used_by_rank",
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
        self.machine_type: cloud_api.MachineType | None = None  # None: not in the catalog
        # Of the newest status, whether a heartbeat or an answer to a direct command.
        self.epoch = 0
        self.seq = -1
        self.last_heartbeat = HeartbeatNumber(0, -1)  # answers to direct commands apart
        self.last_heartbeat_at = now
        self.lease_renewed_at = now  # the last response that may have renewed its lease
        self.confirmed = False  # a status has carried our fencing token
        self.recorded = False  # named in the state store: a later leader will look for it
        self.lost = False  # its lease has expired, or it hasn't been heard for long
        self.draining = False
        self.preemption_at: float | None = None  # when the provider takes it back
        self.quarantined_until = LONG_AGO
        self.idle_since = now
        self.placements: dict[str, Placement] = {}  # by task key
        self.used = [0.0, 0.0, 0.0]  # by its placements: CPUs, GPUs, GiB
        self.used_by_rank = [[0.0, 0.0, 0.0] for _ in user_api.RANKS]  # the same, by rank
        self.reservation: Reservation | None = None
        self.exits: dict[str, TaskExit] = {}  # by task key; the agent still lists them
        self.exits_acknowledged_at = LONG_AGO
        # Attempts by task key of jobs that were over before this node acquired the shard:
        # all that is known of them is that they must stop.
        self.orphans: dict[str, int] = {}
        self.cached_images: dict[str, float] = {}  # image -> when it was last in use
        self.failures_by_job: dict[str, int] = {}  # since a task last succeeded here
        self.last_failure_at: dict[str, float] = {}  # by job
        self.consecutive_errors = 0
        self.awaited_commands: list[agent_api.Command] = []  # the next heartbeat must show them
        self.ineffective_responses = 0  # in a row

    def available(self) -> Resources:
        """What no placement takes; nothing while the machine's type is unknown."""
        if self.machine_type is None:
            return NO_RESOURCES
        used, machine_type = self.used, self.machine_type
        return Resources(
            machine_type.cpus - used[0], machine_type.gpus - used[1], machine_type.memory - used[2]
        )

    def preemptible(self, rank: int) -> Resources:
        """What tasks of lower rank than this one take."""
        cpus = gpus = memory = 0.0
        for used in self.used_by_rank[rank + 1 :]:
            cpus, gpus, memory = cpus + used[0], gpus + used[1], memory + used[2]
        return Resources(cpus, gpus, memory)

    def adjust_usage(self, placement: Placement, sign: float) -> None:
        """Add a placement to the sums (`sign` 1.0), or subtract it (-1.0)."""
        by_rank = self.used_by_rank[placement.rank]
        for i, amount in enumerate(placement.resources):
            self.used[i] += sign * amount
            by_rank[i] += sign * amount
        if not self.placements:
            # Sums of many floats drift: an empty machine is exactly empty.
            self.used = [0.0, 0.0, 0.0]
            self.used_by_rank = [[0.0, 0.0, 0.0] for _ in user_api.RANKS]

    @property
    def schedulable(self) -> bool:
        """Whether tasks may start on it."""
        return (
            self.confirmed
            and self.recorded
            and self.machine_type is not None
            and not self.draining
            and not self.lost
            and not self.unreachable
            and self.preemption_at is None
        )

    @property
    def unreachable(self) -> bool:
        """Its heartbeats arrive, but responses don't reach it: a one-way partition."""
        return self.ineffective_responses >= MAX_INEFFECTIVE_RESPONSES
