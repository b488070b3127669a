"""What this controller asks of its peers, besides heartbeats."""

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

# Of all connections: users' requests that one node forwards at a time.
_FORWARDED_CONNECTION_SHARE = 1 / 80
_MIN_FORWARDED_REQUESTS = 2
# Of a call's timeout: how long a user waits for the cluster leader to place a job.
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
        """`call_timeout`: seconds; `max_connections`: of this process, all purposes together."""
        self._transport = transport
        self._peers = peers
        self._leadership = leadership
        self._schedule_timeout = call_timeout * _SCHEDULE_TIMEOUT_SHARE
        # Forwarded requests must leave connections to heartbeats: a flood of them made peers
        # refuse each other for as long as it took to notice that all are partitioned.
        self._forwarding = trio.CapacityLimiter(
            max(_MIN_FORWARDED_REQUESTS, int(max_connections * _FORWARDED_CONNECTION_SHARE))
        )

    async def forward(self, request: Request) -> Response | None:
        """Let a peer answer a user while this node alone is cut off from the state store."""
        peer = self._peers.with_state_store()
        if peer is None:
            return None
        if self._forwarding.available_tokens < 1:
            return Response(503, b'{"error":"too many requests to pass on"}', list(RETRY_SOON))
        async with self._forwarding:
            reply = await self._transport.send(
                peer, Forward(request.method, request.path, request.body)
            )
        if not isinstance(reply, Forwarded):
            return None
        headers = [("Retry-After", reply.retry_after)] if reply.retry_after else []
        return Response(reply.status, reply.body, headers)

    async def request_schedule(self, spec: user_api.JobSpec) -> ScheduleReply | None:
        """Ask the cluster leader where a job goes, so that its acceptance can say so.

        Without it the leader would have to write the record once more, and writes are
        scarce: one small job after the other used up the leader's share of them. None if
        we lead ourselves, or if the leader does not reply at once; it will find the job.
        """
        leader = self._peers.by_name.get(self._leadership.leader(CLUSTER_LEADER_SHARD) or "")
        if leader is None or leader.failure:
            return None
        with trio.move_on_after(self._schedule_timeout):
            reply = await self._transport.send(leader, ScheduleRequest(spec))
            return reply if isinstance(reply, ScheduleReply) else None
        return None

    async def broadcast_cancellation(self, cancellation: Cancellation) -> None:
        """Tell all peers: leaders that lost only the store must still stop the job's tasks.

        Sent once, for speed alone: each heartbeat repeats it until the peer's own replica
        covers it, and a leader that receives none of them stops renewing leases.
        """
        async with trio.open_nursery() as nursery:
            for peer in self._peers.by_name.values():
                nursery.start_soon(self._transport.send, peer, Cancelled(cancellation))
