"""The cluster leader's autoscaling loop, and what nodes tell each other of its decisions."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

import trio

from ..agents.machine import Machine
from ..jobs.index import Job
from ..membership.messages import PeerHeartbeat
from ..membership.shards import CLUSTER_LEADER_SHARD
from ..protocol import cloud_api
from ..state_store.identifiers import FencingToken, ShardId
from ..state_store.replica import Replica
from .catalog import MachineCatalog
from .cloud_client import CloudClient, CloudUnavailable, InsufficientCapacity
from .config import AutoscalerConfig
from .inventory import MachineInventory
from .machine_health import HeartbeatTimeouts, MachineHealth
from .scale_in import ScaleIn, apply_drains
from .scale_out import BootingMachine, ScaleOut
from .scheduler_view import SchedulerView
from .terminations import Terminations

log = logging.getLogger(__name__)

# Seconds between two looks whether this node has become the cluster leader.
LEADERSHIP_POLL_S = 0.3
# The pause between two rounds, in seconds at most; shorter where the list is read often.
MAX_ROUND_PAUSE_S = 2.0
ROUNDS_PER_LIST_INTERVAL = 3


class ClusterLeadership(Protocol):
    """What autoscaling asks of the membership."""

    @property
    def cluster_leader_token(self) -> FencingToken | None:
        """This node's fencing token as cluster leader, None if it isn't."""

    def verified_cluster_leader(self) -> FencingToken | None:
        """The same, but None too unless it was verified within one session TTL."""

    def leader(self, shard: ShardId) -> str | None:
        """The node that leads a shard, as far as the replica shows."""

    def resumed_at(self) -> float:
        """When this process last continued after a pause."""


class Agents(Protocol):
    """What autoscaling asks of the machines of this node's shards."""

    machines: dict[str, Machine]
    terminated: set[str]  # machines known to be terminated

    def machine_terminated(self, name: str) -> None:
        """Nothing runs on the machine any more."""


@dataclass(slots=True)
class _Leadership:
    """The leadership that the loop's state belongs to."""

    token: FencingToken
    started_at: float


class Autoscaler:
    """Composes scale out, scale in and machine health into the cluster leader's loop."""

    def __init__(
        self,
        config: AutoscalerConfig,
        cloud: CloudClient,
        catalog: MachineCatalog,
        membership: ClusterLeadership,
        agents: Agents,
        open_jobs: Mapping[str, Job],
        scheduler: SchedulerView,
        replica: Replica,
    ):
        """Nine parameters, as it builds the components of this package and hands these on."""
        self.catalog = catalog
        self._config = config
        self._errors = cloud.errors
        self._membership = membership
        self._agents = agents
        self._scheduler = scheduler
        self._replica = replica
        self._leadership: _Leadership | None = None
        self._booting: dict[str, BootingMachine] = {}
        self._inventory = MachineInventory(cloud, config.list_interval, config.list_lag)
        self._terminations = Terminations(cloud, self._machine_terminated)
        self._timeouts = HeartbeatTimeouts(config, scheduler, membership.resumed_at)
        self._health = MachineHealth(
            config,
            scheduler,
            catalog.types,
            self._inventory,
            self._booting,
            self._timeouts,
            self._terminations,
        )
        self._scale_in = ScaleIn(config, catalog.types, open_jobs, scheduler, self._terminations)
        self._scale_out = ScaleOut(
            cloud, catalog.types, open_jobs, scheduler, self._booting, config.max_queue_slack_share
        )

    @property
    def types(self) -> dict[str, cloud_api.MachineType]:
        """The machine types that the cloud offers, by name."""
        return self.catalog.types_by_name

    # --- the cluster leader's loop ------------------------------------------------

    async def run(self) -> None:
        """Read the machine list, terminate machines, launch others; as cluster leader."""
        pause = min(MAX_ROUND_PAUSE_S, self._config.list_interval / ROUNDS_PER_LIST_INTERVAL)
        while True:
            token = self._membership.verified_cluster_leader()
            if token is None or self._replica.revision < 0:
                if self._membership.cluster_leader_token is None:
                    self._leadership = None
                await trio.sleep(LEADERSHIP_POLL_S)
                continue
            if not self._is_current_leadership(token):
                self._begin_leadership(token)
            try:
                await self._run_round(token)
                self._errors.recovered()
            except CloudUnavailable as error:
                self._errors.failed(str(error))
            except InsufficientCapacity:
                pass
            await trio.sleep(pause)

    def _is_current_leadership(self, token: FencingToken) -> bool:
        """Whether this is the leadership of the last round, without a pause of the process."""
        return (
            self._leadership is not None
            and self._leadership.token == token
            and self._leadership.started_at >= self._membership.resumed_at()
        )

    def _begin_leadership(self, token: FencingToken) -> None:
        """Begin without state: launches of an earlier leader are known once the list is read."""
        self._leadership = _Leadership(token, trio.current_time())
        self._inventory.reset()
        self._health.reset()
        self._booting.clear()
        self._scale_out.reset()
        self._scale_in.reset()
        log.info("cluster leader token=%d", token)

    async def _run_round(self, token: FencingToken) -> None:
        await self._inventory.refresh()
        now = trio.current_time()
        statuses = self._scheduler.machine_statuses()
        self._health.check(statuses, now)
        self._scale_in.check(statuses, now)
        await self._terminations.flush(
            lambda: self._membership.verified_cluster_leader() is not None
        )
        await self._scale_out.run_round(
            token, lambda: self._membership.verified_cluster_leader() == token
        )

    def _machine_terminated(self, name: str) -> None:
        self._inventory.remove(name)
        self._booting.pop(name, None)
        self._agents.machine_terminated(name)

    # --- every node's loops -------------------------------------------------------

    async def run_heartbeat_timeouts(self) -> None:
        """Measure for how long machines are unreachable."""
        await self._timeouts.run()

    async def run_local_drains(self) -> None:
        """Apply the cluster leader's drains to its own machines; others learn them by heartbeat."""
        while True:
            await trio.sleep(self._config.heartbeat_interval)
            if self._membership.cluster_leader_token is not None:
                apply_drains(self._scale_in.draining, self._agents.machines.values())

    # --- what nodes tell each other -----------------------------------------------

    def terminated_machines(self) -> list[str]:
        """Machines that the cloud has confirmed gone of late."""
        return self._terminations.recent()

    def draining_machines(self) -> list[str]:
        """Machines that are to take no more tasks."""
        return list(self._scale_in.draining)

    def apply_peer_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Apply what a peer says of this node's machines."""
        for name in heartbeat.terminated:
            if name not in self._agents.terminated or name in self._agents.machines:
                self._agents.machine_terminated(name)
        if heartbeat.node == self._membership.leader(CLUSTER_LEADER_SHARD):
            apply_drains(heartbeat.draining, self._agents.machines.values())
