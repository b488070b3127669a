"""Peer heartbeats: composition, exchange and reception."""

from __future__ import annotations

import trio

from ...state_store.replica import Replica
from ..freshness import NEVER_READ_AGE_S, PeerReply
from ..leadership import ShardLeadership
from ..messages import PeerHeartbeat, ShardToken
from ..nodes import LiveNodes
from .freshness_tracker import FreshnessTracker
from .listener import NoPeerListener, NoPeerUpdates, PeerListener, PeerUpdates
from .peer import Peer, PeerGroup
from .transport import PeerTransport


class HeartbeatComposer:
    """Composes this node's heartbeats, and numbers them."""

    def __init__(self, leadership: ShardLeadership, replica: Replica, freshness: FreshnessTracker):
        self.updates: PeerUpdates = NoPeerUpdates()
        self._leadership = leadership
        self._replica = replica
        self._freshness = freshness
        self._last_number = 0

    def compose(self, revision: int) -> PeerHeartbeat:
        """Return a heartbeat for a peer whose replica covers a revision."""
        self._last_number += 1
        now = trio.current_time()
        identity = self._leadership.identity
        leaders = self._leadership.leaders
        heartbeat = PeerHeartbeat(
            node=identity.name,
            incarnation=identity.incarnation,
            number=self._last_number,
            revision=self._replica.revision,
            store_age=min(NEVER_READ_AGE_S, now - self._replica.verified_at),
            cancellations_age=min(
                NEVER_READ_AGE_S, now - self._freshness.cancellations_verified_at()
            ),
            cancellations=[],
            shards=[],
            terminated=[],
            draining=[],
            tokens=[ShardToken(shard, lease.token) for shard, lease in leaders.items()],
        )
        self.updates.add_updates(heartbeat, revision)
        return heartbeat


class HeartbeatReceiver:
    """Processes peers' heartbeats, both requests and replies."""

    def __init__(self, peers: PeerGroup, leadership: ShardLeadership, live_nodes: LiveNodes):
        self.listener: PeerListener = NoPeerListener()
        self._peers = peers
        self._leadership = leadership
        self._live_nodes = live_nodes

    def receive(self, heartbeat: PeerHeartbeat, requested_at: float | None) -> None:
        """Process a heartbeat.

        `requested_at` is when this node sent the request that the heartbeat answers, None if the
        heartbeat is itself a request.
        """
        peer = self._peers.by_name.get(heartbeat.node)
        if peer is None:
            return
        # Tokens and cancellations are committed, so they are valid however late they arrive.
        for shard, token in heartbeat.tokens:
            own_token = self._leadership.token(shard)
            if own_token is not None and token > own_token:
                # The local replica lags, or cannot reach the store.
                self._leadership.observe_token(shard, token)
        for cancellation in heartbeat.cancellations:
            self.listener.cancellation_received(cancellation)
        listed = self._live_nodes.alive.get(heartbeat.node)
        if peer.accept_newer(heartbeat, requested_at, listed.incarnation if listed else ""):
            self.listener.heartbeat_received(heartbeat)


class HeartbeatExchange:
    """Sends heartbeats to peers, and processes the heartbeats returned as replies."""

    def __init__(
        self,
        transport: PeerTransport,
        composer: HeartbeatComposer,
        receiver: HeartbeatReceiver,
        interval: float,
    ):
        """Initialise; `interval` is the pause after each exchange with a peer, in seconds."""
        self._transport = transport
        self._composer = composer
        self._receiver = receiver
        self._interval = interval

    async def run(self, peer: Peer) -> None:
        """Exchange heartbeats with one peer, pausing for an interval after each exchange."""
        while True:
            requested_at = trio.current_time()
            reply = await self._transport.send(peer, self._composer.compose(peer.revision))
            if isinstance(reply, PeerHeartbeat) and reply.node == peer.name:
                self._receiver.receive(reply, requested_at)
                # Set only after processing: the freshness derived from a reply requires that the
                # reply's content has been applied.
                peer.last_reply = PeerReply(requested_at, reply.store_age, reply.cancellations_age)
                peer.statuses_sent_at = requested_at
            await trio.sleep(self._interval)
