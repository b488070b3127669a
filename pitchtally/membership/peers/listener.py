"""Interfaces between peer communication and the rest of the controller."""

from __future__ import annotations

from typing import Protocol

from ...http import Request, Response
from ...protocol import user_api
from ..messages import Cancellation, PeerHeartbeat, ScheduleReply


class PeerListener(Protocol):
    """Receives data from peers."""

    def cancellation_received(self, cancellation: Cancellation) -> None:
        """Handle a committed cancellation; it may have been received before."""

    def heartbeat_received(self, heartbeat: PeerHeartbeat) -> None:
        """Handle a heartbeat that is newer than all earlier ones of its sender."""


class PeerUpdates(Protocol):
    """Source of the updates piggybacked on this node's heartbeats."""

    def add_updates(self, heartbeat: PeerHeartbeat, revision: int) -> None:
        """Add the updates for a peer whose replica covers a revision."""


class PeerRequestHandler(Protocol):
    """Answers requests from peers."""

    def plan_job(self, spec: user_api.JobSpec) -> ScheduleReply:
        """Return where the cluster leader places a job."""

    async def serve_forwarded(self, request: Request) -> Response:
        """Answer a user's request forwarded by a peer that cannot reach the state store."""


class NoPeerListener:
    """Null listener, used until a real one is connected."""

    def cancellation_received(self, cancellation: Cancellation) -> None:
        """Do nothing."""

    def heartbeat_received(self, heartbeat: PeerHeartbeat) -> None:
        """Do nothing."""


class NoPeerUpdates:
    """Null source of updates, used until a real one is connected."""

    def add_updates(self, heartbeat: PeerHeartbeat, revision: int) -> None:
        """Add nothing."""


class NoPeerRequestHandler:
    """Null handler, used until a real one is connected."""

    def plan_job(self, spec: user_api.JobSpec) -> ScheduleReply:
        """Return a reply without placements."""
        return ScheduleReply([])

    async def serve_forwarded(self, request: Request) -> Response:
        """Respond that this controller is not in service yet (503)."""
        return Response(503, b"")
