"""What agents and controllers exchange: heartbeats, commands, redirects.

Names on the wire (`seal`, `shift`, `pressing`, ...) are mapped to the field's terms here, and
nowhere else.
"""

from __future__ import annotations

from msgspec import Struct, field

START = "start"
STOP = "kill"
ACKNOWLEDGE = "forget"

FETCHING = "fetching"
WAITING = "waiting"
RUNNING = "running"
SAVING = "flushing"
EXITED = "ended"

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

    task: str = field(name="row")
    attempt: int = field(name="pressing")
    state: str = field(name="stage")
    cause: str | None = None
    saved: bool | None = None


class AgentHeartbeat(Struct):
    """An agent's report, also the body of its answers to direct commands."""

    machine: str = field(name="vat")
    epoch: int = field(name="shift")
    seq: int = field(name="tally")
    token: int = field(name="seal", default=0)
    address: str = ""
    type: str = field(name="press", default="")
    zone: str = field(name="parcel", default="")
    spot: bool = field(name="gleaning", default=False)
    notice: float | None = field(name="recallS", default=None)
    tasks: list[TaskStatus] = field(name="rows", default_factory=list)


class Command(Struct, omit_defaults=True):
    """A command to an agent."""

    op: str = field(name="order")
    task: str = field(name="row")
    attempt: int = field(name="pressing")
    grace: float | None = field(name="settleS", default=None)


class HeartbeatResponse(Struct):
    """The answer to a report."""

    token: int = field(name="seal")
    orders: list[Command]


class CommandRequest(Struct):
    """Commands sent straight to an agent's address."""

    token: int = field(name="seal")
    epoch: int = field(name="shift")
    orders: list[Command]


class Redirect(Struct, omit_defaults=True):
    """Which node an agent should report to."""

    report_to: str | None = field(name="steward", default=None)
