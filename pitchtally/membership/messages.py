"""Messages between controllers: tagged tuples in MessagePack.

Fields are encoded by position, so a field may be renamed but not moved. A new field is added at
the end with a default, so that neighbouring versions can read each other's messages.

The last field of every message is a call number: the sender numbers its calls, and a reply
repeats the number of the message that it answers.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec
from msgspec import Struct

from ..jobs.job_record import TaskRange
from ..jobs.resources import NO_RESOURCES, Resources
from ..protocol import user_api
from ..state_store.identifiers import FencingToken, ShardId

# The call number decoded from messages of versions that do not number calls.
UNNUMBERED = 0


class MachineFlag(StrEnum):
    """Why no tasks are placed on a machine; earlier versions use the same values."""

    USABLE = ""
    NEW = "new"  # not yet recorded, or its type is not yet in the machine catalog
    LOST = "lost"  # its lease has expired
    SUSPECT = "unheard"  # recorded, but no heartbeat received since its shard was acquired
    UNREACHABLE = "deaf"  # its heartbeats arrive, but responses do not reach it
    NOTICE = "notice"  # a spot instance that the cloud is about to preempt
    DRAINING = "drain"  # to be terminated once it is empty
    QUARANTINED = "sick"  # tasks of several otherwise healthy jobs fail on it


class MachineStatus(Struct, array_like=True):
    """The status of one machine, for peers and the cluster leader."""

    name: str
    type: str
    zone: str
    spot: bool
    free: Resources
    preemptible: Resources  # used by tasks of the lowest rank
    tasks: int
    idle_for: float  # seconds
    flag: str  # a `MachineFlag`, or a flag of a later version
    slow: float = 1.0  # not used by this version; kept since fields are encoded by position
    over_guarantee: Resources = NO_RESOURCES  # used by teams over their guarantee


class GroupMatrix(NamedTuple):
    """The availability matrix of a machine group; sent as an array."""

    group: str  # see `MachineGroupKey.text`
    cells: list[list[list[int]]]  # task counts by stretch, task size and task duration


class ShardStatus(Struct, array_like=True):
    """The status of a shard, sent by its leader to peers."""

    shard: int
    token: int
    reconciled: bool
    queued_seconds: float  # CPU-seconds of pending tasks
    stretch: float  # lowest stretch of the shard's machines
    machines: list[MachineStatus]
    matrix: list[GroupMatrix] = []
    pending: dict[str, int] = {}  # job -> number of pending tasks
    reserved_jobs: list[str] = []  # jobs for which machines are reserved
    running: dict[str, int] = {}  # job -> number of running tasks
    reserved_machines: list[str] = []  # names of the machines reserved for those jobs
    ready_gangs: list[str] = []  # gangs across several shards whose part in this shard fits
    usage: dict[str, tuple[float, float]] = {}  # team -> CPUs and GPUs in use in this shard


class Cancellation(Struct, array_like=True, frozen=True):
    """A committed cancellation, with all that a replica needs to apply it."""

    job: str
    version: int  # version of the job's record with the cancellation
    tasks: int
    done: int  # number of finished tasks


class ShardToken(NamedTuple):
    """The newest fencing token of a shard in the sender's replica; sent as an array."""

    shard: ShardId
    token: FencingToken


class PeerHeartbeat(Struct, array_like=True, tag="heartbeat"):
    """A node's state, sent to each peer and returned as the reply."""

    node: str
    incarnation: str
    number: int  # increases with each heartbeat of one incarnation
    revision: int  # the revision that the sender's replica covers
    store_age: float  # age of the sender's replica, in seconds
    cancellations_age: float  # seconds since the sender last verified cancellations
    cancellations: list[Cancellation]  # newer than the receiver's replica
    shards: list[ShardStatus]
    terminated: list[str]  # machines that the cloud has confirmed as terminated
    draining: list[str]  # machines to be drained
    tokens: list[ShardToken] = []
    call: int = UNNUMBERED


class Cancelled(Struct, array_like=True, tag="cancelled"):
    """A new cancellation; sent once, ahead of the next heartbeat."""

    cancellation: Cancellation
    call: int = UNNUMBERED


class Forward(Struct, array_like=True, tag="forward"):
    """A user's request, forwarded by a node that cannot reach the state store to one that can."""

    method: str
    path: str
    body: bytes
    call: int = UNNUMBERED


class Forwarded(Struct, array_like=True, tag="forwarded"):
    """The response to a forwarded user's request."""

    status: int
    body: bytes
    retry_after: str
    call: int = UNNUMBERED


class ScheduleRequest(Struct, array_like=True, tag="split"):
    """A request to the cluster leader to place a job that the sender's own shards cannot take."""

    spec: user_api.JobSpec
    call: int = UNNUMBERED


class ScheduleReply(Struct, array_like=True, tag="split_answer"):
    """Where the cluster leader places the job; no ranges if it cannot decide yet."""

    ranges: list[TaskRange]
    zone: str | None = None
    call: int = UNNUMBERED


class Ack(Struct, array_like=True, tag="ack"):
    """The message was received."""

    call: int = UNNUMBERED


Message = PeerHeartbeat | Cancelled | Forward | Forwarded | ScheduleRequest | ScheduleReply | Ack


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
