"""The cluster leader's autoscaling loop, and the peer heartbeat fields that carry its results."""

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

# Interval at which a node that isn't the cluster leader checks whether it has become it.
LEADERSHIP_POLL_S = 0.3
# Pause between rounds: a fraction of the list interval, limited to this many seconds.
MAX_ROUND_PAUSE_S = 2.0
ROUNDS_PER_LIST_INTERVAL = 3


class ClusterLeadership(Protocol):
    """The part of the membership that autoscaling uses."""

    @property
    def cluster_leader_token(self) -> FencingToken | None:
        """This node's fencing token as cluster leader, None if it isn't the leader."""

    def verified_cluster_leader(self) -> FencingToken | None:
        """Return the token if leadership was verified within the last session TTL, else None."""

    def leader(self, shard: ShardId) -> str | None:
        """Return the leader of a shard according to the local replica."""

    def resumed_at(self) -> float:
        """Return when this process last resumed after a pause (steady clock, seconds)."""


class Agents(Protocol):
    """The part of the agent manager that autoscaling uses: machines of this node's shards."""

    machines: dict[str, Machine]
    terminated: set[str]  # names of machines whose termination the cloud has confirmed

    def machine_terminated(self, name: str) -> None:
        """Remove a machine that the cloud has terminated, with its tasks."""


@dataclass(slots=True)
class _Leadership:
    """The term of cluster leadership during which the loop's state was collected."""

    token: FencingToken
    started_at: float


class Autoscaler:
    """Runs scale out, scale in and machine health checks in the cluster leader's loop."""

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
        """Build and connect the components of this package, hence the many parameters."""
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
        """Read the machine list, terminate and launch machines, while cluster leader."""
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
        """Return whether the state was built under this token, and after the last process pause."""
        return (
            self._leadership is not None
            and self._leadership.token == token
            and self._leadership.started_at >= self._membership.resumed_at()
        )

    def _begin_leadership(self, token: FencingToken) -> None:
        """Reset the state; launches by an earlier leader appear in the machine list."""
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
        """Track for how long machines have been unreachable."""
        await self._timeouts.run()

    async def run_local_drains(self) -> None:
        """Drain machines of the cluster leader's own shards; peers get the names by heartbeat."""
        while True:
            await trio.sleep(self._config.heartbeat_interval)
            if self._membership.cluster_leader_token is not None:
                apply_drains(self._scale_in.draining, self._agents.machines.values())

    # --- peer heartbeats ----------------------------------------------------------

    def terminated_machines(self) -> list[str]:
        """Return the names of recently terminated machines."""
        return self._terminations.recent()

    def draining_machines(self) -> list[str]:
        """Return the names of the machines to drain."""
        return list(self._scale_in.draining)

    def apply_peer_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Apply terminations from any peer, and drains if the peer is the cluster leader."""
        for name in heartbeat.terminated:
            if name not in self._agents.terminated or name in self._agents.machines:
                self._agents.machine_terminated(name)
        if heartbeat.node == self._membership.leader(CLUSTER_LEADER_SHARD):
            apply_drains(heartbeat.draining, self._agents.machines.values())
