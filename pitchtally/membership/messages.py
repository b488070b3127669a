"""Messages between our own processes: tagged tuples in MessagePack.

Fields go by their order, so a field may be renamed but not moved; a new one comes last and
has a default, which keeps messages readable between neighbouring versions.

Every message ends with the number of the call that it belongs to: the sender numbers its
calls, and a reply repeats the number of the message that it answers.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec
from msgspec import Struct

from ..jobs.job_record import TaskRange
from ..jobs.resources import NO_RESOURCES, Resources
from ..protocol import user_api

# The number of a call by a version that numbers nothing.
UNNUMBERED = 0


class MachineFlag(StrEnum):
    """Why a machine takes no work; the values are those of earlier versions."""

    USABLE = ""
    NEW = "new"  # not recorded yet, or of a type not known yet
    LOST = "lost"  # silent, its lease is over
    UNHEARD = "unheard"  # recorded, not heard since its shard was taken over
    UNRESPONSIVE = "deaf"  # it reports, but hears nothing of what it is told
    NOTICE = "notice"  # the cloud is about to take it back
    DRAINING = "drain"  # to be returned once it is empty
    UNHEALTHY = "sick"  # tasks of several good jobs fail on it


class MachineStatus(Struct, array_like=True):
    """What peers and the leader need to know of one machine."""

    name: str
    type: str
    zone: str
    spot: bool
    free: Resources
    yielding: Resources  # held by work of the lowest rank
    tasks: int
    idle_for: float
    flag: str  # a `MachineFlag`, or one of a later version
    slow: float = 1.0
    over: Resources = NO_RESOURCES  # by teams beyond their guarantee


class ShardStatus(Struct, array_like=True):
    """What the leader of a shard tells of it."""

    shard: int
    token: int
    reconciled: bool
    queued: float  # machine-seconds not started
    stretch: float  # lowest over its machines
    machines: list[MachineStatus]
    matrix: list[tuple[str, list[list[list[int]]]]] = []
    waiting: dict[str, int] = {}  # job -> tasks not started
    reserved: list[str] = []  # jobs that a machine is kept free for
    running: dict[str, int] = {}  # job -> tasks running
    kept: list[str] = []  # machines kept free
    ready: list[str] = []  # gangs over several shards that have their room here
    use: dict[str, tuple[float, float]] = {}  # team -> CPUs and GPUs in use here


class Cancellation(Struct, array_like=True, frozen=True):
    """A committed cancellation: all that a copy of the store needs to show it."""

    job: str
    version: int  # of the job's record, as committed
    tasks: int
    done: int


class PeerHeartbeat(Struct, array_like=True, tag="heartbeat"):
    """What a node knows, sent to each peer and given back as the answer."""

    node: str
    incarnation: str
    number: int  # orders the heartbeats of one incarnation
    revision: int  # the revision that our copy of the store covers
    store_age: float
    cancellations_age: float  # since when cancellations may be unknown to the sender
    cancellations: list[Cancellation]  # that the receiver's copy can't show yet
    shards: list[ShardStatus]
    released: list[str]
    drain: list[str]
    tokens: list[tuple[int, int]] = []  # the newest fencing token known of each shard
    call: int = UNNUMBERED


class Cancelled(Struct, array_like=True, tag="cancelled"):
    """A job was cancelled just now; sent once, for speed."""

    cancellation: Cancellation
    call: int = UNNUMBERED


class Forward(Struct, array_like=True, tag="forward"):
    """A user's request, from a node that can't reach the store to one that can."""

    method: str
    path: str
    body: bytes
    call: int = UNNUMBERED


class Forwarded(Struct, array_like=True, tag="forwarded"):
    """A peer's answer to a user's request."""

    status: int
    body: bytes
    retry_after: str
    call: int = UNNUMBERED


class ScheduleRequest(Struct, array_like=True, tag="split"):
    """A job that no part of its accepting controller keeps: the leader is to place it."""

    spec: user_api.JobSpec
    call: int = UNNUMBERED


class ScheduleReply(Struct, array_like=True, tag="split_answer"):
    """Where the leader places the job; no ranges if it can't tell yet."""

    ranges: list[TaskRange]
    zone: str | None = None
    call: int = UNNUMBERED


class Ack(Struct, array_like=True, tag="ack"):
    """The message was taken in."""

    call: int = UNNUMBERED


Message = PeerHeartbeat | Cancelled | Forward | Forwarded | ScheduleRequest | ScheduleReply | Ack


encode = msgspec.msgpack.Encoder().encode


decode = msgspec.msgpack.Decoder(Message).decode
