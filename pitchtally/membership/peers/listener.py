"""What peers' messages reach in this controller: typed interfaces in place of callbacks."""

from __future__ import annotations

from typing import Protocol

from ...http import Request, Response
from ...protocol import user_api
from ..messages import Cancellation, PeerHeartbeat, ScheduleReply


class PeerListener(Protocol):
    """Told of what peers know."""

    def cancellation_received(self, cancellation: Cancellation) -> None:
        """A committed cancellation, perhaps known already."""

    def heartbeat_received(self, heartbeat: PeerHeartbeat) -> None:
        """A heartbeat newer than all that this peer's were before."""


class PeerUpdates(Protocol):
    """What is piggybacked on our heartbeats."""

    def add_updates(self, heartbeat: PeerHeartbeat, revision: int) -> None:
        """Fill in what a peer is to know whose replica covers that revision."""


class PeerRequestHandler(Protocol):
    """Answers what peers ask for."""

    def plan_job(self, spec: user_api.JobSpec) -> ScheduleReply:
        """Where the cluster leader places a job."""

    async def serve_forwarded(self, request: Request) -> Response:
        """Answer a user's request that a peer without the state store passes on."""


class NoPeerListener:
    """Stands in until a listener is connected."""

    def cancellation_received(self, cancellation: Cancellation) -> None:
        """Ignored."""

    def heartbeat_received(self, heartbeat: PeerHeartbeat) -> None:
        """Ignored."""


class NoPeerUpdates:
    """Stands in until the source of updates is connected."""

    def add_updates(self, heartbeat: PeerHeartbeat, revision: int) -> None:
        """Nothing to add."""


class NoPeerRequestHandler:
    """Stands in until a handler is connected."""

    def plan_job(self, spec: user_api.JobSpec) -> ScheduleReply:
        """Nothing is placed."""
        return ScheduleReply([])

    async def serve_forwarded(self, request: Request) -> Response:
        """Not in service yet."""
        return Response(503, b"")
