"""Messages between controllers: tagged tuples in MessagePack.

Fields go by their order, so a field may be renamed but not moved; a new one comes last and
has a default, which keeps messages readable between neighbouring versions.

Every message ends with the number of the call that it belongs to: the sender numbers its
calls, and a reply repeats the number of the message that it answers.
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

# The number of a call by a version that numbers nothing.
UNNUMBERED = 0


class MachineFlag(StrEnum):
    """Why a machine is given no tasks; the values are those of earlier versions."""

    USABLE = ""
    NEW = "new"  # not recorded yet, or of a type not known yet
    LOST = "lost"  # its lease has expired
    SUSPECT = "unheard"  # recorded, no heartbeat since its shard was acquired
    UNREACHABLE = "deaf"  # its heartbeats arrive, but our answers do not
    NOTICE = "notice"  # a spot instance that the cloud is about to preempt
    DRAINING = "drain"  # to be terminated once it is empty
    QUARANTINED = "sick"  # tasks of several good jobs fail on it


class MachineStatus(Struct, array_like=True):
    """What peers and the cluster leader need to know of one machine."""

    name: str
    type: str
    zone: str
    spot: bool
    free: Resources
    preemptible: Resources  # used by tasks of the lowest rank
    tasks: int
    idle_for: float  # seconds
    flag: str  # a `MachineFlag`, or one of a later version
    slow: float = 1.0
    over_guarantee: Resources = NO_RESOURCES  # used by teams over their guarantee


class GroupMatrix(NamedTuple):
    """The availability matrix of a machine group; sent as an array."""

    group: str  # see `MachineGroupKey.text`
    cells: list[list[list[int]]]  # tasks by stretch, size and task length


class ShardStatus(Struct, array_like=True):
    """What the leader of a shard tells its peers of it."""

    shard: int
    token: int
    reconciled: bool
    queued_seconds: float  # CPU-seconds of pending tasks
    stretch: float  # the lowest of its machines
    machines: list[MachineStatus]
    matrix: list[GroupMatrix] = []
    pending: dict[str, int] = {}  # job -> pending tasks
    reserved_jobs: list[str] = []  # jobs that machines are kept free for
    running: dict[str, int] = {}  # job -> tasks running
    reserved_machines: list[str] = []  # machines kept free
    ready_gangs: list[str] = []  # gangs over several shards whose share fits here
    usage: dict[str, tuple[float, float]] = {}  # team -> CPUs and GPUs in use in this shard


class Cancellation(Struct, array_like=True, frozen=True):
    """A committed cancellation: all that a replica needs to show it."""

    job: str
    version: int  # of the job's record, as committed
    tasks: int
    done: int  # tasks finished


class ShardToken(NamedTuple):
    """The newest fencing token that the sender knows of a shard; sent as an array."""

    shard: ShardId
    token: FencingToken


class PeerHeartbeat(Struct, array_like=True, tag="heartbeat"):
    """What a node knows, sent to each peer and returned as the reply."""

    node: str
    incarnation: str
    number: int  # orders the heartbeats of one incarnation
    revision: int  # the revision that the sender's replica covers
    store_age: float  # of the sender's replica, seconds
    cancellations_age: float  # seconds since the sender knew all cancellations
    cancellations: list[Cancellation]  # that the receiver's replica cannot show yet
    shards: list[ShardStatus]
    terminated: list[str]  # machines that the cloud has confirmed as terminated
    draining: list[str]  # machines to be drained
    tokens: list[ShardToken] = []
    call: int = UNNUMBERED


class Cancelled(Struct, array_like=True, tag="cancelled"):
    """A job was cancelled just now; sent once, for speed."""

    cancellation: Cancellation
    call: int = UNNUMBERED


class Forward(Struct, array_like=True, tag="forward"):
    """A user's request, from a node that cannot reach the state store to one that can."""

    method: str
    path: str
    body: bytes
    call: int = UNNUMBERED


class Forwarded(Struct, array_like=True, tag="forwarded"):
    """A peer's response to a user's request."""

    status: int
    body: bytes
    retry_after: str
    call: int = UNNUMBERED


class ScheduleRequest(Struct, array_like=True, tag="split"):
    """A job that no shard of the accepting controller keeps: the cluster leader is to place it."""

    spec: user_api.JobSpec
    call: int = UNNUMBERED


class ScheduleReply(Struct, array_like=True, tag="split_answer"):
    """Where the cluster leader places the job; no ranges if it cannot tell yet."""

    ranges: list[TaskRange]
    zone: str | None = None
    call: int = UNNUMBERED


class Ack(Struct, array_like=True, tag="ack"):
    """The message was received."""

    call: int = UNNUMBERED


Message = PeerHeartbeat | Cancelled | Forward | Forwarded | ScheduleRequest | ScheduleReply | Ack


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
