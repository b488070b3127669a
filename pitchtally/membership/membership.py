"""Composition of this node's cluster membership, and the interface to it for other packages."""

from __future__ import annotations

import trio

from ..config.policy import Policy
from ..config.settings import Settings
from ..state_store.client import StateStoreClient
from ..state_store.identifiers import FencingToken
from ..state_store.replica import Replica
from .failover import Failover
from .leadership import ShardLeadership, ShardListener
from .nodes import LiveNodes, NodeIdentity
from .pause_detector import PauseDetector
from .peers.freshness_tracker import FreshnessTracker
from .peers.heartbeats import HeartbeatComposer, HeartbeatExchange, HeartbeatReceiver
from .peers.listener import PeerListener, PeerRequestHandler, PeerUpdates
from .peers.peer import PeerGroup
from .peers.requests import PeerRequests
from .peers.server import PeerServer
from .peers.transport import PeerTransport
from .session import Session
from .shards import CLUSTER_LEADER_SHARD


class Membership:
    """The live nodes, the shard leaders, and communication with peers.

    Composes the components of this package; each component runs its own loop and owns its state.
    The methods that other packages call are the components' bound methods, assigned once as
    attributes: some are called for every agent heartbeat, so a delegating method would add the
    cost of a call.
    """

    def __init__(
        self, settings: Settings, policy: Policy, state_store: StateStoreClient, replica: Replica
    ):
        identity = NodeIdentity.of_new_process(settings.name)
        self.node_name = identity.name
        self.incarnation = identity.incarnation
        self.replica = replica
        self._session_ttl = policy.session_ttl
        self.live_nodes = LiveNodes(settings.nodes, replica, state_store.share_limits)
        self.leadership = ShardLeadership(identity, replica)
        self.failover = Failover(
            self.leadership,
            self.live_nodes,
            state_store,
            replica,
            settings.deployment.count,
            policy,
        )
        self.session = Session(identity, self.live_nodes, state_store, replica, policy.session_ttl)
        self.pause_detector = PauseDetector(policy.heartbeat_interval, policy.call_timeout)
        self._build_peers(settings, policy)
        self._bind()

    def _build_peers(self, settings: Settings, policy: Policy) -> None:
        """Create the components for communication with peers and the freshness tracker."""
        group = PeerGroup(settings.members, settings.name, policy.session_ttl)
        self.peer_group = group
        self.peers = group.by_name
        self.freshness = FreshnessTracker(self.replica, self.peers, policy)
        self.transport = PeerTransport(policy.call_timeout)
        self.composer = HeartbeatComposer(self.leadership, self.replica, self.freshness)
        self.receiver = HeartbeatReceiver(group, self.leadership, self.live_nodes)
        interval = policy.heartbeat_interval
        self.heartbeats = HeartbeatExchange(self.transport, self.composer, self.receiver, interval)
        self.peer_server = PeerServer(group, self.composer, self.receiver, interval)
        self.peer_requests = PeerRequests(
            self.transport,
            group,
            self.leadership,
            settings.deployment.machine_limits.max_connections,
            policy.call_timeout,
        )

    def _bind(self) -> None:
        """Assign the components' methods to attributes of this object."""
        self.nodes = self.live_nodes.names
        self.alive = self.live_nodes.alive
        self.token = self.leadership.token
        self.leader = self.leadership.leader
        self.observe_token = self.leadership.observe_token
        self.cancellations_verified_at = self.freshness.cancellations_verified_at
        self.leadership_verified_at = self.freshness.leadership_verified_at
        self.may_start_tasks = self.freshness.may_start_tasks
        self.cancellations_stale = self.freshness.cancellations_stale
        self.resumed_at = self.pause_detector.resumed_at
        self.set_agents_unreachable = self.session.set_agents_unreachable
        self.is_isolated = self.peer_group.is_isolated
        self.peer_with_state_store = self.peer_group.find_peer_with_state_store
        self.forward = self.peer_requests.forward
        self.request_schedule = self.peer_requests.request_schedule
        self.broadcast_cancellation = self.peer_requests.broadcast_cancellation
        self.send = self.transport.send
        self.serve = self.peer_server.serve

    def connect(
        self,
        shards: ShardListener,
        peers: PeerListener,
        updates: PeerUpdates,
        handler: PeerRequestHandler,
    ) -> None:
        """Connect listeners, the source of updates and the request handler before any loop runs."""
        self.leadership.listener = shards
        self.receiver.listener = peers
        self.composer.updates = updates
        self.peer_server.handler = handler

    @property
    def agents_unreachable(self) -> bool:
        """Whether this node reports that it cannot reach its agents."""
        return self.session.agents_unreachable

    @property
    def cluster_leader_token(self) -> FencingToken | None:
        """The cluster leader's fencing token, None if this node is not the cluster leader."""
        return self.token(CLUSTER_LEADER_SHARD)

    def verified_cluster_leader(self) -> FencingToken | None:
        """Return the cluster leader's fencing token if this node is verifiably the leader.

        None if this node is not the leader, or if another node may have become the leader since
        the last verification.

        The cloud API accepts no fencing token, so a deposed leader, or one that was paused,
        could launch and terminate machines alongside its successor.
        """
        verified_since = max(trio.current_time() - self._session_ttl, self.resumed_at())
        if self.leadership_verified_at() < verified_since:
            return None
        return self.cluster_leader_token

    def replying_incarnations(self) -> dict[str, str]:
        """Return the incarnations of this node and of peers that replied within a session TTL."""
        return {**self.peer_group.replying_incarnations(), self.node_name: self.incarnation}
