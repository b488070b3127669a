"""One controller: the components put together, and their loops run."""

from __future__ import annotations

import logging

import trio

from .. import wire
from ..formats.gate import FormatGate
from ..formats.job_layout import JobLayout
from ..formats.migration import Cleanup, JobMigration
from ..http import Request, Response, Server
from ..policy import Policy
from ..replica import Replica
from ..settings import Settings, host_port
from ..store import Store
from .acceptance import Acceptances
from .api import Api
from .decisions import DecisionLog, Evidence
from .fleet import Fleet
from .format_upgrade import FormatUpgrade
from .jobs import JobStore
from .loops import Loop, Loops
from .members import LEADER_PART, Members
from .messages import Cancellation, Heartbeat, SplitAnswer
from .progress import ProgressWriter
from .split import Split
from .workers import Workers

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
        self.store = Store(
            settings.endpoints.state, limits.state_to_keep, len(settings.nodes), policy.call_timeout
        )
        watch_rate = limits.state_to_keep.rps * policy.watch_share / len(settings.nodes)
        self.replica = Replica(self.store, 1 / watch_rate, policy.session_ttl / 2)
        self.members = Members(settings, policy, self.store, self.replica)
        self.gate = FormatGate(self.replica, limits.state.value_kb)
        self.format_upgrade = FormatUpgrade(self.members, self.store, self.gate)
        self.job_store = JobStore(self.store, self.replica, self.gate, self.members.token)
        self.layout = JobLayout(self.gate, limits.state_to_keep)
        self.migration = JobMigration(self.job_store, self.layout, policy.heartbeat_interval)
        self.cleanup = Cleanup(self.job_store, self._leader_guard, policy.period)
        self.progress = ProgressWriter(self.job_store, self.layout, self.migration, policy.period)
        self.workers = Workers(
            settings, policy, self.members, self.job_store, self.replica, lambda: self.fleet.types
        )
        self.split = Split(
            settings,
            policy,
            self.members,
            self.job_store,
            self.workers,
            self.replica,
            self.migration,
            lambda: self.fleet.types,
        )
        self.fleet = Fleet(
            settings,
            policy,
            self.members,
            self.job_store,
            self.workers,
            self.split,
            self.store,
            self.replica,
        )
        self.api = Api(
            settings,
            policy,
            self.members,
            self.store,
            self.replica,
            self.job_store,
            self.workers,
            self.split,
            self.layout,
            lambda: self.fleet.types,
        )
        self.progress.submissions_wait = lambda: self.api.line.waiting
        self.loops = Loops()
        self.decisions = DecisionLog(
            self._evidence, self._counters, lambda: self.api.confirmations.last
        )
        self._connect()

    def _connect(self) -> None:
        members, workers, split = self.members, self.workers, self.split

        def gained(part: int, token: int) -> None:
            workers.gained(part, token)
            split.parts.gained(part)

        members.on_gain = gained
        members.on_loss = workers.drop_part
        members.on_cancel = lambda c: self.job_store.learn_cancelled(
            c.job, c.version, c.tasks, c.done
        )
        members.on_heartbeat = self._beat
        members.on_forward = self.api.local
        members.on_split = self._split
        members.fill_in = self._fill_in
        workers.on_lost_part = split.parts.lost
        workers.on_loaded = split.parts.loaded
        workers.on_settled = split.parts.settled
        workers.on_group_heard = split.parts.unblock
        workers.on_gone = split.parts.gone
        workers.on_done = split.parts.done
        workers.adopt = split.parts.adopt
        workers.fill = split.placing.fill
        self.api.decided = self.decisions.decided
        workers.decided = self.decisions.decided
        self.progress.decided = self.decisions.decided

    def _leader_guard(self) -> tuple[str, int] | None:
        """What a leader's write rests on, None if this node doesn't lead."""
        token = self.members.leading
        return None if token is None else (f"pt/parts/{LEADER_PART}", token)

    def _evidence(self) -> Evidence:
        owned = self.members.owners.get(LEADER_PART)
        return Evidence(
            self.replica.seen,
            self.members.cancellations_known_at(),
            self.members.owner(LEADER_PART),
            owned[1] if owned is not None else 0,
        )

    def _counters(self) -> dict[str, int]:
        """Totals that other components count."""
        faults = {f"fault_{name}": count for name, count in self.loops.faults.items()}
        return {**self.api.confirmations.counts, **self.workers.answered, **faults}

    def _split(self, spec: wire.JobSpec) -> SplitAnswer:
        plan = self.split.decide_as_leader(spec)
        return SplitAnswer(plan.ranges, plan.zone)

    def _beat(self, heartbeat: Heartbeat) -> None:
        self.split.statuses.take_heartbeat(heartbeat)
        self.fleet.take_heartbeat(heartbeat)

    def _fill_in(self, heartbeat: Heartbeat, seen: int) -> None:
        """What the slices have to tell a peer whose copy covers that revision."""
        heartbeat.cancellations = [
            Cancellation(*row) for row in self.job_store.cancelled_after(seen)
        ]
        heartbeat.parts = self.split.statuses.own()
        heartbeat.released = self.fleet.released_names()
        heartbeat.drain = self.fleet.drain_names()

    async def run(self) -> None:
        """Serve and run every loop until cancelled."""
        times = self.settings.deployment.workers
        # One survivor of three may get every worker, and every user: what our own calls
        # take (`OUTWARD`, by the slices) and peers need is set aside, the rest is theirs.
        connections = self.settings.deployment.machine_limits.max_connections
        users = Server(
            self.api.serve,
            max_connections=int(connections * (1 - OUTWARD - PEERS)),
            idle=times.lease_s * 3,
            request_time=times.report_s * 2,
            vital=frozenset({REPORTS}),
        )
        peers = Server(
            self._serve_peer,
            max_connections=int(connections * PEERS),
            idle=times.lease_s,
            request_time=times.report_s,
            max_body=1 << 22,
        )
        async with trio.open_nursery() as nursery:
            self.api.nursery = nursery
            host, port = host_port(self.settings.public_addr)
            nursery.start_soon(self.loops.keep, "users", lambda: users.serve(host, port))
            peer_host, peer_port = host_port(self.settings.peer_bind)
            nursery.start_soon(self.loops.keep, "peers", lambda: peers.serve(peer_host, peer_port))
            for name, loop in self._own_loops():
                nursery.start_soon(self.loops.keep, name, loop)
            for peer in self.members.peers.values():
                nursery.start_soon(
                    self.loops.keep,
                    f"heartbeats_{peer.name}",
                    lambda p=peer: self.members.run_heartbeats(p),
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
        acceptances = [("acceptances", self.api.acceptances.run)] * Acceptances.LOOPS
        return [
            ("pauses", self.members.run_pause_detector),
            ("replica", self.replica.run),
            ("lease", self.members.run_lease),
            ("ownership", self.members.run_ownership),
            ("progress", self.progress.run),
            ("format", self.format_upgrade.run),
            ("migration", self.migration.run),
            ("cleanup", self.cleanup.run),
            ("expiry", self.workers.run_expiry),
            ("direct_commands", self.workers.direct_commands.run),
            ("reachability", self.workers.direct_commands.run_reachability),
            ("records", self.workers.records.run),
            ("planning", self.split.run),
            ("splitting", self.split.run_splitting),
            ("fleet", self.fleet.run),
            ("types", self.fleet.machine_types.run),
            ("silences", self.fleet.run_silences),
            ("confirmations", self.api.confirmations.run),
            ("drain", self._own_drain),
            ("decisions", lambda: self.decisions.run(self.policy.period)),
            *acceptances,
        ]

    async def _own_drain(self) -> None:
        while True:
            await trio.sleep(self.policy.heartbeat_interval)
            self.fleet.own_drain()

    async def _serve_peer(self, request: Request) -> Response:
        return await self.members.serve(request)
