"""Requests from this controller to its peers, besides heartbeats."""

from __future__ import annotations

import trio

from ...http import Request, Response
from ...protocol import user_api
from ..leadership import ShardLeadership
from ..messages import (
    Cancellation,
    Cancelled,
    Forward,
    Forwarded,
    ScheduleReply,
    ScheduleRequest,
)
from ..shards import CLUSTER_LEADER_SHARD
from .peer import PeerGroup
from .transport import PeerTransport

RETRY_SOON = [("Retry-After", "1")]

# Limit of users' requests that this node forwards at a time, as a share of its connections.
_FORWARDED_CONNECTION_SHARE = 1 / 80
_MIN_FORWARDED_REQUESTS = 2
# Timeout for placement by the cluster leader, which a user waits for, as a share of a call's.
_SCHEDULE_TIMEOUT_SHARE = 1 / 4


class PeerRequests:
    """Requests to peers on behalf of users."""

    def __init__(
        self,
        transport: PeerTransport,
        peers: PeerGroup,
        leadership: ShardLeadership,
        max_connections: int,
        call_timeout: float,
    ):
        """Initialise; `call_timeout` is in seconds, `max_connections` the limit of this process."""
        self._transport = transport
        self._peers = peers
        self._leadership = leadership
        self._schedule_timeout = call_timeout * _SCHEDULE_TIMEOUT_SHARE
        # Forwarded requests must leave connections free for heartbeats. Without the limit, a
        # flood of them made peers refuse each other's connections until the peers detected that
        # all nodes were partitioned from the state store.
        self._forward_limiter = trio.CapacityLimiter(
            max(_MIN_FORWARDED_REQUESTS, int(max_connections * _FORWARDED_CONNECTION_SHARE))
        )

    async def forward(self, request: Request) -> Response | None:
        """Forward a user's request to a peer that reaches the state store.

        None if no such peer is available, or if it does not reply.
        """
        peer = self._peers.find_peer_with_state_store()
        if peer is None:
            return None
        if self._forward_limiter.available_tokens < 1:
            return Response(503, b'{"error":"too many requests to pass on"}', list(RETRY_SOON))
        async with self._forward_limiter:
            reply = await self._transport.send(
                peer, Forward(request.method, request.path, request.body)
            )
        if not isinstance(reply, Forwarded):
            return None
        headers = [("Retry-After", reply.retry_after)] if reply.retry_after else []
        return Response(reply.status, reply.body, headers)

    async def request_schedule(self, spec: user_api.JobSpec) -> ScheduleReply | None:
        """Request a job's placement from the cluster leader, to store it with the accepted job.

        Otherwise the leader would have to write the job's record a second time, and writes are
        rate-limited: a series of small jobs used up the leader's share of them. None if this
        node is the cluster leader, if no leader can be reached, or if it does not reply in time;
        the leader then places the job once its replica shows it.
        """
        leader = self._peers.by_name.get(self._leadership.leader(CLUSTER_LEADER_SHARD) or "")
        if leader is None or leader.failure:
            return None
        with trio.move_on_after(self._schedule_timeout):
            reply = await self._transport.send(leader, ScheduleRequest(spec))
            return reply if isinstance(reply, ScheduleReply) else None
        return None

    async def broadcast_cancellation(self, cancellation: Cancellation) -> None:
        """Send a cancellation to all peers.

        A shard leader that cannot reach the store must still stop the job's tasks. The message is
        sent once, only to save time: heartbeats repeat the cancellation until the peer's replica
        covers it, and a leader that receives none of them stops renewing leases.
        """
        async with trio.open_nursery() as nursery:
            for peer in self._peers.by_name.values():
                nursery.start_soon(self._transport.send, peer, Cancelled(cancellation))
