"""One controller: the components put together, and their loops run."""

from __future__ import annotations

import logging

import trio

from .agents.manager import AgentManager
from .api.routes import Api
from .api.submission_batcher import SubmissionBatcher
from .autoscaling.autoscaler import Autoscaler
from .config.policy import Policy
from .config.settings import Settings, host_port
from .formats.gate import FormatGate
from .formats.job_layout import JobLayout
from .formats.migration import Cleanup, JobMigration
from .http import Request, Response, Server
from .jobs.index import JobIndex
from .jobs.progress_writer import ProgressWriter
from .membership.format_negotiation import FormatUpgrade
from .membership.membership import CLUSTER_LEADER_SHARD, Membership
from .membership.messages import Cancellation, PeerHeartbeat, ScheduleReply
from .observability.decision_log import DecisionContext, DecisionLog
from .observability.supervision import Loop, LoopSupervisor
from .protocol import user_api
from .scheduling.scheduler import Scheduler
from .state_store import keys
from .state_store.client import StateStoreClient
from .state_store.replica import Replica

log = logging.getLogger("service")

# Of the sockets that a controller may hold: for calls of our own, and for peers.
OUTWARD = 0.12
PEERS = 0.05
REPORTS = "/v1/report"


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
        self.format_upgrade = FormatUpgrade(self.membership, self.state_store, self.gate)
        self.job_index = JobIndex(self.state_store, self.replica, self.gate, self.membership.token)
        self.layout = JobLayout(self.gate, limits.state_to_keep)
        self.migration = JobMigration(self.job_index, self.layout, policy.heartbeat_interval)
        self.cleanup = Cleanup(self.job_index, self._leader_guard, policy.period)
        self.progress = ProgressWriter(self.job_index, self.layout, self.migration, policy.period)
        self.agents = AgentManager(
            settings,
            policy,
            self.membership,
            self.job_index,
            self.replica,
            lambda: self.autoscaler.types,
        )
        self.scheduler = Scheduler(
            settings,
            policy,
            self.membership,
            self.job_index,
            self.agents,
            self.replica,
            self.migration,
            lambda: self.autoscaler.types,
        )
        self.autoscaler = Autoscaler(
            settings,
            policy,
            self.membership,
            self.job_index,
            self.agents,
            self.scheduler,
            self.state_store,
            self.replica,
        )
        self.api = Api(
            settings,
            policy,
            self.membership,
            self.state_store,
            self.replica,
            self.job_index,
            self.agents,
            self.scheduler,
            self.layout,
            lambda: self.autoscaler.types,
        )
        self.progress.submissions_wait = lambda: self.api.line.waiting
        self.loops = LoopSupervisor()
        self.decisions = DecisionLog(
            self._decision_context, self._counters, lambda: self.api.read_barrier.last
        )
        self._connect()

    def _connect(self) -> None:
        membership, agents, scheduler = self.membership, self.agents, self.scheduler

        def acquired(shard: int, token: int) -> None:
            agents.acquired(shard, token)
            scheduler.shards.shard_acquired(shard)

        membership.on_acquired = acquired
        membership.on_lost = agents.release_shard
        membership.on_cancel = lambda c: self.job_index.learn_cancelled(
            c.job, c.version, c.tasks, c.done
        )
        membership.on_heartbeat = self._take_peer_heartbeat
        membership.on_forward = self.api.local
        membership.on_schedule_request = self._plan_as_cluster_leader
        membership.add_updates = self._add_updates
        agents.connect(scheduler.shards, scheduler.placer)
        self.api.on_decision = self.decisions.on_decision
        agents.on_decision = self.decisions.on_decision
        self.progress.on_decision = self.decisions.on_decision

    def _leader_guard(self) -> tuple[str, int] | None:
        """What a leader's write rests on, None if this node doesn't lead."""
        token = self.membership.cluster_leader_token
        return None if token is None else (keys.shard(CLUSTER_LEADER_SHARD), token)

    def _decision_context(self) -> DecisionContext:
        owned = self.membership.leaders.get(CLUSTER_LEADER_SHARD)
        return DecisionContext(
            self.replica.revision,
            self.membership.cancellations_verified_at(),
            self.membership.leader(CLUSTER_LEADER_SHARD),
            owned[1] if owned is not None else 0,
        )

    def _counters(self) -> dict[str, int]:
        """Totals that other components count."""
        faults = {f"fault_{name}": count for name, count in self.loops.faults.items()}
        return {**self.api.read_barrier.counts, **self.agents.answered, **faults}

    def _plan_as_cluster_leader(self, spec: user_api.JobSpec) -> ScheduleReply:
        plan = self.scheduler.decide_as_leader(spec)
        return ScheduleReply(plan.ranges, plan.zone)

    def _take_peer_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        self.scheduler.statuses.take_heartbeat(heartbeat)
        self.autoscaler.take_heartbeat(heartbeat)

    def _add_updates(self, heartbeat: PeerHeartbeat, seen: int) -> None:
        """What the slices have to tell a peer whose copy covers that revision."""
        heartbeat.cancellations = [
            Cancellation(*row) for row in self.job_index.cancelled_after(seen)
        ]
        heartbeat.shards = self.scheduler.statuses.own()
        heartbeat.released = self.autoscaler.released_names()
        heartbeat.drain = self.autoscaler.drain_names()

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
            priority_paths=frozenset({REPORTS}),
        )
        peers = Server(
            self._serve_peer,
            max_connections=int(connections * PEERS),
            idle_timeout=times.lease_s,
            request_timeout=times.report_s,
            max_body=1 << 22,
        )
        async with trio.open_nursery() as nursery:
            self.api.nursery = nursery
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
                    lambda p=peer: self.membership.run_heartbeats(p),
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
            ("acceptances", self.api.submission_batcher.run)
        ] * SubmissionBatcher.LOOPS
        return [
            ("pauses", self.membership.run_pause_detector),
            ("replica", self.replica.run),
            ("lease", self.membership.run_lease),
            ("ownership", self.membership.run_leadership),
            ("progress", self.progress.run),
            ("format", self.format_upgrade.run),
            ("migration", self.migration.run),
            ("cleanup", self.cleanup.run),
            ("expiry", self.agents.run_expiry),
            ("direct_commands", self.agents.command_sender.run),
            ("reachability", self.agents.command_sender.run_reachability),
            ("records", self.agents.records.run),
            ("planning", self.scheduler.run),
            ("splitting", self.scheduler.run_global_scheduling),
            ("fleet", self.autoscaler.run),
            ("types", self.autoscaler.catalog.run),
            ("silences", self.autoscaler.run_silences),
            ("confirmations", self.api.read_barrier.run),
            ("drain", self._own_drain),
            ("decisions", lambda: self.decisions.run(self.policy.period)),
            *submission_batcher,
        ]

    async def _own_drain(self) -> None:
        while True:
            await trio.sleep(self.policy.heartbeat_interval)
            self.autoscaler.own_drain()

    async def _serve_peer(self, request: Request) -> Response:
        return await self.membership.serve(request)
