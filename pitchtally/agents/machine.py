"""State of a machine and of the placements of tasks on it; no I/O.

`Machine` and `Placement` refer to each other, so they share a module. Times are seconds on
trio's clock, except where a comment says otherwise.
"""

from __future__ import annotations

from typing import NamedTuple

import trio

from ..config.clock import LONG_AGO_S
from ..jobs.index import Job
from ..jobs.resources import NO_RESOURCES, Resources, resource_request
from ..protocol import agent_api, cloud_api, user_api

# After this many consecutive responses without an effect, a machine counts as unreachable.
MAX_INEFFECTIVE_RESPONSES = 2


class MachineGroupKey(NamedTuple):
    """The attributes shared by the machines of a group, which differ only in their state."""

    type: str
    zone: str
    spot: bool

    def text(self) -> str:
        """Return the encoded key, as peer heartbeats carry it."""
        return f"{self.type}|{self.zone}|{int(self.spot)}"

    @classmethod
    def parse(cls, text: str) -> MachineGroupKey:
        """Decode a key from the form that `text` returns."""
        type_, zone, spot = text.split("|")
        return cls(type_, zone, spot == "1")


class Reservation(NamedTuple):
    """A machine reserved until a given time for a job that cannot start yet."""

    job_id: str
    until: float


class HeartbeatNumber(NamedTuple):
    """Orders the heartbeats of an agent: of two, the one with the greater number is newer."""

    epoch: int
    seq: int


class TaskExit(NamedTuple):
    """The exit of a task, which the agent lists until a command acknowledges it."""

    attempt: int
    cause: str


class Placement:
    """A task on a machine, from the decision to start it until its end there is confirmed."""

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
        self.spec = job.spec  # the record drops its spec once the job has ended
        self.resources = resource_request(job.spec)
        self.state = ""  # last state that the agent reported; "" before the first report
        self.observed = False  # whether the agent has listed the task
        # `seq` of the heartbeat whose response carried the start command; 0 before it is sent.
        self.start_heartbeat_seq = 0
        self.placed_at = trio.current_time()  # time of the decision, later of the start command
        self.running_since: float | None = None
        self.stop_grace: float | None = None  # in seconds; None unless the task must be stopped
        self.stop_commanded_at = 0.0  # 0 if no stop was sent since the grace was last shortened
        self.team = job.spec.team
        self.rank = user_api.RANKS.index(job.spec.rank)
        self.key = f"{job.id}/{task}"


class Machine:
    """The state of a machine, as tracked by the leader of its shard."""

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
        self.machine_type: cloud_api.MachineType | None = None  # None if the catalog lacks it
        # Epoch and sequence number of the newest status: a heartbeat or a response to a command.
        self.epoch = 0
        self.seq = -1
        self.last_heartbeat = HeartbeatNumber(0, -1)  # excludes command responses
        self.last_heartbeat_at = now
        self.lease_renewed_at = now  # time of the last response that may have renewed the lease
        self.confirmed = False  # whether a status has carried this shard's current token
        self.recorded = False  # whether it is in the state store, for a later leader
        self.lost = False  # whether its lease has expired, or its heartbeats have timed out
        self.draining = False
        self.preemption_at: float | None = None  # time that the cloud announced, if any
        self.quarantined_until = LONG_AGO_S
        self.idle_since = now
        self.placements: dict[str, Placement] = {}  # keyed by task key
        self.used = [0.0, 0.0, 0.0]  # CPUs, GPUs and GiB of memory that placements take
        self.used_by_rank = [[0.0, 0.0, 0.0] for _ in user_api.RANKS]  # `used`, for each rank
        self.reservation: Reservation | None = None
        self.exits: dict[str, TaskExit] = {}  # those that the agent lists, keyed by task key
        self.exits_acknowledged_at = LONG_AGO_S
        # Attempts of listed tasks without a placement, keyed by task key. Their jobs ended before
        # this node acquired the shard; nothing else is known of them, and they must be stopped.
        self.orphans: dict[str, int] = {}
        self.cached_images: dict[str, float] = {}  # time of last use, keyed by image
        self.failures_by_job: dict[str, int] = {}  # counts since the last success of any task
        self.last_failure_at: dict[str, float] = {}  # keyed by job ID
        self.consecutive_errors = 0
        # Starts and acknowledgements of the last response: the next heartbeat shows their effect.
        self.awaited_commands: list[agent_api.Command] = []
        self.ineffective_responses = 0  # consecutive

    def available(self) -> Resources:
        """Return the resources that no placement takes; none while the machine type is unknown."""
        if self.machine_type is None:
            return NO_RESOURCES
        used, machine_type = self.used, self.machine_type
        return Resources(
            machine_type.cpus - used[0], machine_type.gpus - used[1], machine_type.memory - used[2]
        )

    def preemptible(self, rank: int) -> Resources:
        """Return the resources that tasks of a rank lower than `rank` take."""
        cpus = gpus = memory = 0.0
        for used in self.used_by_rank[rank + 1 :]:
            cpus, gpus, memory = cpus + used[0], gpus + used[1], memory + used[2]
        return Resources(cpus, gpus, memory)

    def adjust_usage(self, placement: Placement, sign: float) -> None:
        """Add a placement's resources to the totals (`sign` 1.0), or subtract them (-1.0)."""
        by_rank = self.used_by_rank[placement.rank]
        for i, amount in enumerate(placement.resources):
            self.used[i] += sign * amount
            by_rank[i] += sign * amount
        if not self.placements:
            # Float sums accumulate rounding errors, so an empty machine resets its totals to zero.
            self.used = [0.0, 0.0, 0.0]
            self.used_by_rank = [[0.0, 0.0, 0.0] for _ in user_api.RANKS]

    @property
    def schedulable(self) -> bool:
        """Whether tasks may start on the machine."""
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
        """Whether heartbeats arrive but responses have no effect: a one-way network partition."""
        return self.ineffective_responses >= MAX_INEFFECTIVE_RESPONSES
