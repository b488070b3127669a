"""Answers the messages of peers."""

from __future__ import annotations

import msgspec
import trio

from ...http import Request, Response
from ..messages import (
    Ack,
    Cancelled,
    Forward,
    Forwarded,
    Message,
    PeerHeartbeat,
    ScheduleRequest,
    decode,
    encode,
)
from .heartbeats import HeartbeatComposer, HeartbeatReceiver
from .listener import NoPeerRequestHandler, PeerRequestHandler
from .peer import PeerGroup

# Heartbeat intervals after which a peer that had our statuses is due for them again.
_STATUSES_DUE_INTERVALS = 1.5


class PeerServer:
    """Takes in each message of a peer, and replies to it."""

    def __init__(
        self,
        peers: PeerGroup,
        composer: HeartbeatComposer,
        receiver: HeartbeatReceiver,
        heartbeat_interval: float,
    ):
        """`heartbeat_interval`: seconds between two heartbeats of ours to a peer."""
        self.handler: PeerRequestHandler = NoPeerRequestHandler()
        self._peers = peers
        self._composer = composer
        self._receiver = receiver
        self._statuses_due_after = heartbeat_interval * _STATUSES_DUE_INTERVALS

    async def serve(self, request: Request) -> Response:
        """Answer a message of a peer; status 400 if it cannot be read."""
        try:
            message: Message = decode(request.body)
        except msgspec.MsgspecError:
            return Response(400, b"")
        reply = await self._reply(message)
        reply.call = message.call
        return Response(200, encode(reply), type="application/msgpack")

    async def _reply(self, message: Message) -> Message:
        if isinstance(message, PeerHeartbeat):
            return self._reply_to_heartbeat(message)
        if isinstance(message, Cancelled):
            self._receiver.listener.cancellation_received(message.cancellation)
        elif isinstance(message, ScheduleRequest):
            return self.handler.plan_job(message.spec)
        elif isinstance(message, Forward):
            return await self._reply_to_forward(message)
        return Ack()

    def _reply_to_heartbeat(self, message: PeerHeartbeat) -> PeerHeartbeat:
        self._receiver.receive(message, None)
        # What it needs rests on its own words, not on what we remember of it: the reply
        # holds every cancellation newer than the replica that it had as it asked.
        reply = self._composer.compose(message.revision)
        peer = self._peers.by_name.get(message.node)
        if peer is not None:
            since_statuses = trio.current_time() - peer.statuses_sent_at
            if since_statuses < self._statuses_due_after:
                # Our own heartbeats bring it our statuses, by far the most of a message;
                # where they are refused, this reply must.
                reply.shards = []
        return reply

    async def _reply_to_forward(self, message: Forward) -> Forwarded:
        request = Request(message.method, message.path, {}, message.body)
        response = await self.handler.serve_forwarded(request)
        retry_after = dict(response.headers).get("Retry-After", "")
        return Forwarded(response.status, response.body, retry_after)
