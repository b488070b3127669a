"""The API between agents and controllers: heartbeats, commands, redirects.

Agents send heartbeats to their shard leader (`POST /v1/report`), and receive commands from it in
the responses or at their own address (`POST /commands`, which returns the agent's status, with
409 if the epoch isn't the agent's). Only this module maps the names on the wire (`seal`, `shift`,
`pressing`, ...) to the attribute names used in the code. States and causes are plain strings in
the structs, because a later version of the agent may send values that aren't listed here.
"""

from __future__ import annotations

from msgspec import Struct, field

# Values of `Command.op`.
START = "start"
STOP = "kill"
ACKNOWLEDGE = "forget"

# Values of `TaskStatus.state`.
FETCHING = "fetching"  # the image is being fetched
WAITING = "waiting"  # waiting for the other tasks of the gang
RUNNING = "running"
SAVING = "flushing"  # stop requested; the task saves its work within the grace period
EXITED = "ended"

# Values of `TaskStatus.cause`.
DONE = "done"
STOPPED = "stopped"
GANG_PEERS_LOST = "mates_gone"
GANG_INCOMPLETE = "incomplete"
ERROR = "error"
INSUFFICIENT_CAPACITY = "full"
BUSY = "busy"
UNKNOWN = "unknown"


class TaskStatus(Struct):
    """The status of one task, as reported by an agent."""

    task: str = field(name="row")  # "<job id>/<task number>"
    attempt: int = field(name="pressing")
    state: str = field(name="stage")
    cause: str | None = None  # cause of the exit
    saved: bool | None = None  # whether the task saved its work before its exit


class AgentHeartbeat(Struct):
    """An agent's status: the body of a heartbeat, and of the response to a `CommandRequest`."""

    machine: str = field(name="vat")
    epoch: int = field(name="shift")  # increases when the agent starts or its lease expires
    seq: int = field(name="tally")  # sequence number within the epoch
    token: int = field(name="seal", default=0)  # highest fencing token received
    address: str = ""  # host:port of the agent's HTTP server
    type: str = field(name="press", default="")
    zone: str = field(name="parcel", default="")
    spot: bool = field(name="gleaning", default=False)
    # Set once the machine has received a preemption notice.
    seconds_until_preemption: float | None = field(name="recallS", default=None)
    tasks: list[TaskStatus] = field(name="rows", default_factory=list)


class Command(Struct, omit_defaults=True):
    """A command to an agent, about one task."""

    op: str = field(name="order")
    task: str = field(name="row")
    attempt: int = field(name="pressing")
    grace: float | None = field(name="settleS", default=None)  # seconds to save work


class HeartbeatResponse(Struct):
    """The shard leader's response to a heartbeat; it renews the agent's lease."""

    token: int = field(name="seal")
    commands: list[Command] = field(name="orders")


class CommandRequest(Struct):
    """Commands sent directly to an agent's address."""

    token: int = field(name="seal")
    epoch: int = field(name="shift")
    commands: list[Command] = field(name="orders")


class Redirect(Struct, omit_defaults=True):
    """The response of a node that doesn't lead the machine's shard; names the leader if known."""

    leader: str | None = field(name="steward", default=None)
