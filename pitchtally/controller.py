"""The composition root: builds and connects the components of a controller, and runs their loops.

Only this module depends on all packages. Components are built from the bottom layer upwards, each
with a narrow view of the components below it. A lower layer calls a higher one only through a
listener interface that the lower layer defines; the listeners are connected last.
"""

from __future__ import annotations

import logging
from functools import partial

import trio

from .agents.manager import AgentManager
from .api.routes import AGENT_HEARTBEATS_PATH, Api, ApiListeners, ApiSchedulerView
from .api.submission_batcher import MAX_CONCURRENT_COMMITS
from .autoscaling.autoscaler import Autoscaler
from .autoscaling.catalog import CatalogStore, MachineCatalog
from .autoscaling.cloud_client import CloudClient
from .autoscaling.config import AutoscalerConfig
from .autoscaling.scheduler_view import SchedulerView
from .config.policy import Policy
from .config.settings import Settings, host_port
from .formats.gate import FormatGate
from .http import Request, Response, Server
from .jobs.cleanup import Cleanup
from .jobs.commits import JobCommits
from .jobs.index import JobIndex
from .jobs.layout import JobLayout
from .jobs.migration import JobMigration
from .jobs.progress_writer import ProgressWriter
from .membership.format_negotiation import FormatNegotiation
from .membership.membership import Membership
from .membership.messages import Cancellation, PeerHeartbeat, ScheduleReply
from .membership.shards import CLUSTER_LEADER_SHARD
from .observability.decision_log import DecisionContext, DecisionLog
from .observability.supervision import Loop, LoopSupervisor
from .protocol import user_api
from .protocol.state_store_api import Precondition
from .scheduling.scheduler import Scheduler
from .state_store import keys
from .state_store.client import StateStoreClient
from .state_store.identifiers import FencingToken, ShardId
from .state_store.replica import Replica

log = logging.getLogger(__name__)

# Shares of the connection limit that are reserved for outbound calls and for peers. The rest serves
# users and agents: one survivor of three controllers may have to serve all of them.
OUTBOUND_SHARE = 0.12
PEER_SHARE = 0.05
MAX_PEER_MESSAGE_BYTES = 1 << 22
# Timeouts of the server for users and agents, as multiples of the agents' lease and of their
# heartbeat interval.
USER_IDLE_TIMEOUT_LEASES = 3
USER_REQUEST_TIMEOUT_HEARTBEATS = 2


class _ShardLeaderships:
    """Notifies agents and scheduler when this node starts or stops leading a shard."""

    def __init__(self, agents: AgentManager, scheduler: Scheduler):
        self._agents = agents
        self._scheduler = scheduler

    def shard_acquired(self, shard: ShardId, token: FencingToken) -> None:
        """Notify the agent manager first: the scheduler reads the shard's machines from it."""
        self._agents.shard_acquired(shard, token)
        self._scheduler.shards.shard_acquired(shard)

    def shard_lost(self, shard: ShardId) -> None:
        """Notify the agent manager, which notifies the scheduler."""
        self._agents.shard_lost(shard)


class _PeerMessages:
    """Dispatches peer heartbeats and requests to the components that handle them."""

    def __init__(self, job_index: JobIndex, scheduler: Scheduler, autoscaler: Autoscaler, api: Api):
        self._job_index = job_index
        self._scheduler = scheduler
        self._autoscaler = autoscaler
        self._api = api

    def cancellation_received(self, cancellation: Cancellation) -> None:
        """Apply a committed cancellation received from a peer."""
        self._job_index.apply_peer_cancellation(
            cancellation.job, cancellation.version, cancellation.tasks, cancellation.finished_tasks
        )

    def heartbeat_received(self, heartbeat: PeerHeartbeat) -> None:
        """Apply the latest heartbeat of a peer."""
        self._scheduler.statuses.apply_peer_heartbeat(heartbeat)
        self._autoscaler.apply_peer_heartbeat(heartbeat)

    def add_updates(self, heartbeat: PeerHeartbeat, revision: int) -> None:
        """Add the components' updates to a heartbeat for a peer whose replica is at `revision`."""
        heartbeat.cancellations = [
            Cancellation(*entry) for entry in self._job_index.cancelled_after(revision)
        ]
        heartbeat.shards = self._scheduler.statuses.led_statuses()
        heartbeat.terminated = self._autoscaler.terminated_machines()
        heartbeat.draining = self._autoscaler.draining_machines()

    def plan_job(self, spec: user_api.JobSpec) -> ScheduleReply:
        """Place a job as the cluster leader."""
        plan = self._scheduler.plan_as_leader(spec)
        return ScheduleReply(plan.ranges, plan.zone)

    async def serve_forwarded(self, request: Request) -> Response:
        """Handle a user's request that a peer has forwarded."""
        return await self._api.serve_locally(request)


class Controller:
    """One controller and its components."""

    def __init__(self, settings: Settings, policy: Policy):
        self.settings = settings
        self.policy = policy
        self.loops = LoopSupervisor()
        self._nursery: trio.Nursery | None = None  # set while this controller runs
        self._build_state_store()
        self.membership = Membership(settings, policy, self.state_store, self.replica)
        self._build_jobs()
        self.decisions = DecisionLog(
            self._decision_context, self._counters, lambda: self.api.read_barrier.last_read
        )
        self.progress = ProgressWriter(
            self.job_index,
            self.commits,
            self.layout,
            self.migration,
            policy.period,
            lambda: self.api.admission_queue.expects_retries,
            self.decisions.on_decision,
        )
        self.agents = AgentManager(
            settings,
            policy,
            self.membership,
            self.job_index,
            self.commits,
            lambda: self.autoscaler.types,
            self.decisions.on_decision,
        )
        self.scheduler = Scheduler(
            settings,
            policy,
            self.membership,
            self.job_index,
            self.commits,
            self.agents,
            self.replica,
            self.migration,
            lambda: self.autoscaler.types,
        )
        self.autoscaler: Autoscaler = self._build_autoscaler()
        self.api: Api = self._build_api()
        self._connect()

    def _build_state_store(self) -> None:
        """Build the state store client, and the replica that its watch keeps current."""
        policy, nodes = self.policy, len(self.settings.nodes)
        limits = self.settings.deployment.effective_state_limits
        self.state_store = StateStoreClient(
            self.settings.endpoints.state, limits, nodes, policy.call_timeout
        )
        watch_rate = limits.rps * policy.watch_share / nodes
        self.replica = Replica(self.state_store, 1 / watch_rate, policy.session_ttl / 2)

    def _build_jobs(self) -> None:
        """Build the format gate, the job index, and the components that commit job records."""
        policy, deployment = self.policy, self.settings.deployment
        self.gate = FormatGate(self.replica, deployment.state.value_kb)
        self.format_negotiation = FormatNegotiation(
            self.membership, self.state_store, self.replica, self.gate, policy.heartbeat_interval
        )
        self.job_index = JobIndex(self.replica, self.gate)
        self.commits = JobCommits(self.state_store, self.replica, self.membership.token)
        self.layout = JobLayout(self.gate, deployment.effective_state_limits)
        self.migration = JobMigration(
            self.job_index, self.commits, self.layout, policy.heartbeat_interval
        )
        self.cleanup = Cleanup(
            self.job_index, self.commits, self._leader_precondition, policy.period
        )

    def _build_autoscaler(self) -> Autoscaler:
        cloud = CloudClient(self.settings, self.policy)
        catalog = MachineCatalog(
            CatalogStore(self.state_store, self.replica, self.gate),
            cloud,
            self.agents.machines,
            lambda: self.membership.cluster_leader_token is not None,
            self.policy.list_every,
        )
        scheduler = self.scheduler
        view = SchedulerView(
            shard_statuses=lambda: scheduler.statuses.newest,
            status_received_at=scheduler.statuses.received_at.get,
            leads_shard=lambda shard: shard in scheduler.shards.states,
            running_tasks=scheduler.statuses.running,
            tasks_within_limit=scheduler.quotas.limit_left,
            slack=scheduler.priorities.slack,
            task_seconds=scheduler.estimates.expected_run_s,
            recent_specs=lambda: scheduler.shards.recent_jobs.values(),
        )
        return Autoscaler(
            AutoscalerConfig.from_settings(self.settings, self.policy),
            cloud,
            catalog,
            self.membership,
            self.agents,
            self.job_index.open,
            view,
            self.replica,
        )

    def _build_api(self) -> Api:
        return Api(
            settings=self.settings,
            policy=self.policy,
            state_store=self.state_store,
            replica=self.replica,
            jobs=self.job_index.jobs,
            layout=self.layout,
            peers=self.membership,
            scheduler=ApiSchedulerView(
                plan=self.scheduler.plan_submission, running_tasks=self.scheduler.statuses.running
            ),
            machine_types=self.autoscaler.catalog.types,
            serve_agent=self.agents.serve,
            listeners=ApiListeners(self.decisions.on_decision, self._broadcast_cancellation),
        )

    def _broadcast_cancellation(self, cancellation: Cancellation) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self.membership.broadcast_cancellation, cancellation)

    def _connect(self) -> None:
        agents, scheduler = self.agents, self.scheduler
        peer_messages = _PeerMessages(self.job_index, scheduler, self.autoscaler, self.api)
        self.membership.connect(
            _ShardLeaderships(agents, scheduler), peer_messages, peer_messages, peer_messages
        )
        agents.connect(scheduler.shards, scheduler.placer)

    def _leader_precondition(self) -> Precondition | None:
        """Return the precondition for writes by the cluster leader, None on other nodes."""
        token = self.membership.cluster_leader_token
        return None if token is None else Precondition(keys.shard(CLUSTER_LEADER_SHARD), token)

    def _decision_context(self) -> DecisionContext:
        lease = self.membership.leadership.leaders.get(CLUSTER_LEADER_SHARD)
        return DecisionContext(
            self.replica.revision,
            self.membership.cancellations_verified_at(),
            self.membership.leader(CLUSTER_LEADER_SHARD),
            lease.token if lease is not None else 0,
        )

    def _counters(self) -> dict[str, int]:
        """Return the counters of other components for the decision log."""
        faults = {f"fault_{name}": count for name, count in self.loops.faults.items()}
        return {**self.api.read_barrier.counts, **self.agents.endpoint.responses, **faults}

    async def run(self) -> None:
        """Serve and run every loop until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for name, loop in [
                *self._server_loops(),
                *self._component_loops(),
                *self._peer_loops(),
            ]:
                nursery.start_soon(self.loops.supervise, name, loop)
            objectives = [
                f"{objective.kind}:{objective.job_class or ''}"
                for objective in self.settings.deployment.objectives
            ]
            log.info(
                "serving node=%s address=%s objectives=%s",
                self.settings.name,
                self.settings.public_addr,
                ",".join(objectives),
            )

    def _server_loops(self) -> list[tuple[str, Loop]]:
        """Return the loops of the servers: one for users and agents, one for peers."""
        agent_times = self.settings.deployment.workers
        connections = self.settings.deployment.machine_limits.max_connections
        users = Server(
            self.api.serve,
            max_connections=int(connections * (1 - OUTBOUND_SHARE - PEER_SHARE)),
            idle_timeout=agent_times.lease_s * USER_IDLE_TIMEOUT_LEASES,
            request_timeout=agent_times.report_s * USER_REQUEST_TIMEOUT_HEARTBEATS,
            priority_paths=frozenset({AGENT_HEARTBEATS_PATH}),
        )
        peers = Server(
            self.membership.serve,
            max_connections=int(connections * PEER_SHARE),
            idle_timeout=agent_times.lease_s,
            request_timeout=agent_times.report_s,
            max_body=MAX_PEER_MESSAGE_BYTES,
        )
        host, port = host_port(self.settings.public_addr)
        peer_host, peer_port = host_port(self.settings.peer_bind)
        return [
            ("users", lambda: users.serve(host, port)),
            ("peers", lambda: peers.serve(peer_host, peer_port)),
        ]

    def _peer_loops(self) -> list[tuple[str, Loop]]:
        """Return the loops that send heartbeats, one for each peer."""
        heartbeats = self.membership.heartbeats
        return [
            (f"heartbeats_{peer.name}", partial(heartbeats.run, peer))
            for peer in self.membership.peers.values()
        ]

    def _component_loops(self) -> list[tuple[str, Loop]]:
        """Return all loops, by name, except those of the servers and of single peers."""
        batcher: tuple[str, Loop] = ("submission_batcher", self.api.submission_batcher.run)
        return [
            ("pause_detector", self.membership.pause_detector.run),
            ("replica", self.replica.run),
            ("session_lease", self.membership.session.run),
            ("failover", self.membership.failover.run),
            ("progress_writer", self.progress.run),
            ("format_negotiation", self.format_negotiation.run),
            ("migration", self.migration.run),
            ("cleanup", self.cleanup.run),
            ("lease_expiry", self.agents.lease_expiry.run),
            ("command_sender", self.agents.command_sender.run),
            ("reachability", self.agents.reachability.run),
            ("machine_records", self.agents.records.run),
            ("job_unblocking", self.scheduler.shards.unblocking.run),
            ("shard_scheduling", self.scheduler.run),
            ("global_scheduling", self.scheduler.run_global_scheduling),
            ("autoscaler", self.autoscaler.run),
            ("catalog", self.autoscaler.catalog.run),
            ("heartbeat_timeouts", self.autoscaler.run_heartbeat_timeouts),
            ("read_barrier", self.api.read_barrier.run),
            ("drains", self.autoscaler.run_local_drains),
            ("decisions", lambda: self.decisions.run(self.policy.period)),
            *[batcher] * MAX_CONCURRENT_COMMITS,
        ]
