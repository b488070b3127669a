"""Handler of messages from peers."""

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

# A reply includes this node's statuses if the peer has received none for this many intervals.
_STATUSES_DUE_INTERVALS = 1.5


class PeerServer:
    """Processes each message from a peer and replies to it."""

    def __init__(
        self,
        peers: PeerGroup,
        composer: HeartbeatComposer,
        receiver: HeartbeatReceiver,
        heartbeat_interval: float,
    ):
        """Initialise; `heartbeat_interval` is the time between heartbeats to a peer, in seconds."""
        self.handler: PeerRequestHandler = NoPeerRequestHandler()
        self._peers = peers
        self._composer = composer
        self._receiver = receiver
        self._statuses_due_after = heartbeat_interval * _STATUSES_DUE_INTERVALS

    async def serve(self, request: Request) -> Response:
        """Answer a message from a peer; respond with status 400 if it cannot be decoded."""
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
        # The reply depends on the revision in the message, not on the one recorded for the peer:
        # it holds every cancellation that the peer's replica lacked when the peer sent the message.
        reply = self._composer.compose(message.revision)
        peer = self._peers.by_name.get(message.node)
        if peer is not None:
            since_statuses = trio.current_time() - peer.statuses_sent_at
            if since_statuses < self._statuses_due_after:
                # This node's own heartbeats deliver the statuses, by far the largest part of a
                # message. If the peer does not accept those heartbeats, this reply must.
                reply.shards = []
        return reply

    async def _reply_to_forward(self, message: Forward) -> Forwarded:
        request = Request(message.method, message.path, {}, message.body)
        response = await self.handler.serve_forwarded(request)
        retry_after = dict(response.headers).get("Retry-After", "")
        return Forwarded(response.status, response.body, retry_after)
