"""What agents and controllers exchange: heartbeats, commands, redirects.

Agents send heartbeats to the leader of their shard (`POST /v1/report`), and take commands from
it in the responses or at their own address (`POST /commands`, answered with a status, 409 if
the epoch isn't theirs). Names on the wire (`seal`, `shift`, `pressing`, ...) are mapped to the
field's terms here, and nowhere else. States and causes stay plain strings in the structs: a
later agent may send ones that aren't listed here.
"""

from __future__ import annotations

from msgspec import Struct, field

# Commands.
START = "start"
STOP = "kill"
ACKNOWLEDGE = "forget"

# States of a task.
FETCHING = "fetching"  # its image is being fetched
WAITING = "waiting"  # for the rest of its gang
RUNNING = "running"
SAVING = "flushing"  # told to stop, saves its work within the grace
EXITED = "ended"

# Causes of an exit.
DONE = "done"
STOPPED = "stopped"
GANG_PEERS_LOST = "mates_gone"
GANG_INCOMPLETE = "incomplete"
ERROR = "error"
INSUFFICIENT_CAPACITY = "full"
BUSY = "busy"
UNKNOWN = "unknown"


class TaskStatus(Struct):
    """One task as an agent reports it."""

    task: str = field(name="row")  # the job's identifier, a slash, the task's number
    attempt: int = field(name="pressing")
    state: str = field(name="stage")
    cause: str | None = None  # of its exit
    saved: bool | None = None  # whether it saved its work before it exited


class AgentHeartbeat(Struct):
    """An agent's status: the body of a heartbeat, and of its answers to commands."""

    machine: str = field(name="vat")
    epoch: int = field(name="shift")  # risen whenever the agent starts, or its lease expires
    seq: int = field(name="tally")  # counts up within an epoch
    token: int = field(name="seal", default=0)  # the newest fencing token that it has seen
    address: str = ""  # of its own HTTP interface, host:port
    type: str = field(name="press", default="")
    zone: str = field(name="parcel", default="")
    spot: bool = field(name="gleaning", default=False)
    seconds_until_preemption: float | None = field(
        name="recallS", default=None
    )  # seconds until its preemption
    tasks: list[TaskStatus] = field(name="rows", default_factory=list)


class Command(Struct, omit_defaults=True):
    """A command to an agent."""

    op: str = field(name="order")
    task: str = field(name="row")
    attempt: int = field(name="pressing")
    grace: float | None = field(name="settleS", default=None)  # seconds to save work in


class HeartbeatResponse(Struct):
    """The response to a heartbeat of a machine that this node leads; renews its lease."""

    token: int = field(name="seal")
    commands: list[Command] = field(name="orders")


class CommandRequest(Struct):
    """Commands sent straight to an agent's address."""

    token: int = field(name="seal")
    epoch: int = field(name="shift")
    commands: list[Command] = field(name="orders")


class Redirect(Struct, omit_defaults=True):
    """Which node leads the machine's shard, if that is known and another one."""

    leader: str | None = field(name="steward", default=None)
