"""One controller: the components put together, and their loops run."""

from __future__ import annotations

import logging

import trio

from .agents.manager import AgentManager
from .api.routes import HEARTBEATS, Api, ApiListeners, ApiSchedulerView
from .api.submission_batcher import CONCURRENT_COMMITS
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
from .membership.format_negotiation import FormatUpgrade
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

log = logging.getLogger("service")

# Of the sockets that a controller may hold: for calls of our own, and for peers.
OUTWARD = 0.12
PEERS = 0.05


class _ShardLeaderships:
    """Passes on to agents and scheduler which shards this node begins or ceases to lead."""

    def __init__(self, agents: AgentManager, scheduler: Scheduler):
        self._agents = agents
        self._scheduler = scheduler

    def shard_acquired(self, shard: ShardId, token: FencingToken) -> None:
        """The agents' side first: the scheduler asks it for the shard's machines."""
        self._agents.shard_acquired(shard, token)
        self._scheduler.shards.shard_acquired(shard)

    def shard_lost(self, shard: ShardId) -> None:
        """The agents' side tells the scheduler."""
        self._agents.shard_lost(shard)


class _PeerMessages:
    """Connects peers' heartbeats and requests with the components that they concern."""

    def __init__(self, job_index: JobIndex, scheduler: Scheduler, autoscaler: Autoscaler, api: Api):
        self._job_index = job_index
        self._scheduler = scheduler
        self._autoscaler = autoscaler
        self._api = api

    def cancellation_received(self, cancellation: Cancellation) -> None:
        """A peer knows of a committed cancellation."""
        self._job_index.learn_cancelled(
            cancellation.job, cancellation.version, cancellation.tasks, cancellation.done
        )

    def heartbeat_received(self, heartbeat: PeerHeartbeat) -> None:
        """A peer's newest heartbeat."""
        self._scheduler.statuses.take_heartbeat(heartbeat)
        self._autoscaler.take_heartbeat(heartbeat)

    def add_updates(self, heartbeat: PeerHeartbeat, revision: int) -> None:
        """What the components tell a peer whose replica covers that revision."""
        heartbeat.cancellations = [
            Cancellation(*row) for row in self._job_index.cancelled_after(revision)
        ]
        heartbeat.shards = self._scheduler.statuses.own()
        heartbeat.released = self._autoscaler.terminated_names()
        heartbeat.drain = self._autoscaler.drain_names()

    def plan_job(self, spec: user_api.JobSpec) -> ScheduleReply:
        """Place a job as the cluster leader."""
        plan = self._scheduler.decide_as_leader(spec)
        return ScheduleReply(plan.ranges, plan.zone)

    async def serve_forwarded(self, request: Request) -> Response:
        """Answer a user's request that a peer has passed on."""
        return await self._api.local(request)


class Controller:
    """One controller: its components, put together."""

    def __init__(self, settings: Settings, policy: Policy):
        self.settings = settings
        self.policy = policy
        limits = settings.deployment
        self.state_store = StateStoreClient(
            settings.endpoints.state, limits.state_to_keep, len(settings.nodes), policy.call_timeout
        )
        watch_rate = limits.state_to_keep.rps * policy.watch_share / len(settings.nodes)
        self.replica = Replica(self.state_store, 1 / watch_rate, policy.session_ttl / 2)
        self.membership = Membership(settings, policy, self.state_store, self.replica)
        self.gate = FormatGate(self.replica, limits.state.value_kb)
        self.format_upgrade = FormatUpgrade(
            self.membership,
            self.state_store,
            self.replica,
            self.gate,
            policy.heartbeat_interval,
        )
        self.job_index = JobIndex(self.replica, self.gate)
        self.commits = JobCommits(self.state_store, self.replica, self.membership.token)
        self.layout = JobLayout(self.gate, limits.state_to_keep)
        self.migration = JobMigration(
            self.job_index, self.commits, self.layout, policy.heartbeat_interval
        )
        self.cleanup = Cleanup(
            self.job_index, self.commits, self._leader_precondition, policy.period
        )
        self.decisions = DecisionLog(
            self._decision_context, self._counters, lambda: self.api.read_barrier.last_read
        )
        self.progress = ProgressWriter(
            self.job_index,
            self.commits,
            self.layout,
            self.migration,
            policy.period,
            lambda: self.api.admission_queue.occupied,
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
        self.autoscaler = self._build_autoscaler()
        self.loops = LoopSupervisor()
        self._nursery: trio.Nursery | None = None  # while this controller runs
        self.api = self._build_api()
        self._connect()

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
            task_seconds=scheduler.estimates.task,
            recent_specs=lambda: scheduler.shards.recent.values(),
        )
        return Autoscaler(
            AutoscalerConfig.of(self.settings, self.policy),
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
                plan=self.scheduler.decide, running_tasks=self.scheduler.statuses.running
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
        """What a cluster leader's write rests on, None if this node is not the leader."""
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
        """Totals that other components count."""
        faults = {f"fault_{name}": count for name, count in self.loops.faults.items()}
        return {**self.api.read_barrier.counts, **self.agents.endpoint.responses, **faults}

    async def run(self) -> None:
        """Serve and run every loop until cancelled."""
        times = self.settings.deployment.workers
        # One survivor of three may get every agent, and every user: what our own calls
        # take (`OUTWARD`, by the slices) and peers need is set aside, the rest is theirs.
        connections = self.settings.deployment.machine_limits.max_connections
        users = Server(
            self.api.serve,
            max_connections=int(connections * (1 - OUTWARD - PEERS)),
            idle_timeout=times.lease_s * 3,
            request_timeout=times.report_s * 2,
            priority_paths=frozenset({HEARTBEATS}),
        )
        peers = Server(
            self._serve_peer,
            max_connections=int(connections * PEERS),
            idle_timeout=times.lease_s,
            request_timeout=times.report_s,
            max_body=1 << 22,
        )
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            host, port = host_port(self.settings.public_addr)
            nursery.start_soon(self.loops.supervise, "users", lambda: users.serve(host, port))
            peer_host, peer_port = host_port(self.settings.peer_bind)
            nursery.start_soon(
                self.loops.supervise, "peers", lambda: peers.serve(peer_host, peer_port)
            )
            for name, loop in self._own_loops():
                nursery.start_soon(self.loops.supervise, name, loop)
            for peer in self.membership.peers.values():
                nursery.start_soon(
                    self.loops.supervise,
                    f"heartbeats_{peer.name}",
                    lambda p=peer: self.membership.heartbeats.run(p),
                )
            log.info(
                "serving node=%s address=%s objectives=%s",
                self.settings.name,
                self.settings.public_addr,
                ",".join(
                    f"{o.kind}:{o.job_class or ''}" for o in self.settings.deployment.objectives
                ),
            )

    def _own_loops(self) -> list[tuple[str, Loop]]:
        """Every loop but those of the servers and of single peers, by name."""
        submission_batcher = [
            ("submission_batcher", self.api.submission_batcher.run)
        ] * CONCURRENT_COMMITS
        return [
            ("pauses", self.membership.pause_detector.run),
            ("replica", self.replica.run),
            ("lease", self.membership.session.run),
            ("ownership", self.membership.failover.run),
            ("progress", self.progress.run),
            ("format", self.format_upgrade.run),
            ("migration", self.migration.run),
            ("cleanup", self.cleanup.run),
            ("expiry", self.agents.lease_expiry.run),
            ("direct_commands", self.agents.command_sender.run),
            ("reachability", self.agents.reachability.run),
            ("records", self.agents.records.run),
            ("planning", self.scheduler.run),
            ("splitting", self.scheduler.run_global_scheduling),
            ("autoscaler", self.autoscaler.run),
            ("catalog", self.autoscaler.catalog.run),
            ("heartbeat_timeouts", self.autoscaler.run_heartbeat_timeouts),
            ("read_barrier", self.api.read_barrier.run),
            ("drains", self.autoscaler.run_own_drains),
            ("decisions", lambda: self.decisions.run(self.policy.period)),
            *submission_batcher,
        ]

    async def _serve_peer(self, request: Request) -> Response:
        return await self.membership.serve(request)
