"""Wanted machines against listed ones: hire, release, spot, prices.

Only the leader talks to the cloud, apart from machine types that are missing at a
start. Names of hires come from the leader's token and a counter, so that no node
ever uses one twice; a hire without an answer is repeated under its name.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
import trio

from ..agents.machine import MachineGroupKey
from ..agents.manager import AgentManager
from ..config.policy import Policy
from ..config.settings import Settings
from ..jobs.index import JobIndex
from ..jobs.resources import capacity_of, count_fitting, resource_request
from ..membership.membership import Membership
from ..membership.messages import MachineFlag, MachineStatus, PeerHeartbeat
from ..membership.shards import shard_of
from ..protocol import cloud_api, user_api
from ..scheduling.capacity import allows_machine_type
from ..scheduling.scheduler import Scheduler
from ..state_store.client import StateStoreClient
from ..state_store.replica import Replica
from .catalog import MachineCatalog
from .cloud_client import Cloud, CloudUnavailable, InsufficientCapacity
from .scale_out import Booting, ScaleOut

log = logging.getLogger("fleet")

encode = msgspec.json.encode


# Flags of machines that can't be reached, or don't hear what they are told.
SILENT_FLAGS = frozenset({MachineFlag.LOST, MachineFlag.UNHEARD, MachineFlag.UNRESPONSIVE})
USUAL_BOOT_S = 30.0  # where a machine's type isn't known
BOOTS = 4  # times its usual boot that a machine may take


@dataclass(slots=True)
class Silence:
    """A machine that no node can reach, as its shard's leader tells."""

    since: float
    seen_at: float  # when that was last confirmed


class Autoscaler:
    """The leader's view of all machines: which to return, which to rent."""

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        membership: Membership,
        job_index: JobIndex,
        agents: AgentManager,
        scheduler: Scheduler,
        state_store: StateStoreClient,
        replica: Replica,
    ):
        self.settings = settings
        self.policy = policy
        self.membership = membership
        self.job_index = job_index
        self.agents = agents
        self.scheduler = scheduler
        self.state_store = state_store
        self.replica = replica
        self.cloud = Cloud(settings, policy)
        self.listed: dict[str, cloud_api.ListedMachine] = {}
        self.absent_since: dict[str, float] = {}
        self.booting: dict[str, Booting] = {}
        self.scale_out = ScaleOut(self)
        self.led_since: float | None = None
        self.led_token = 0
        self.unseen: dict[str, float] = {}  # listed as running, but in nobody's statuses
        self.silences: dict[str, Silence] = {}
        self.demand: dict[tuple[object, ...], list[tuple[float, int]]] = {}
        self.demand_at = -1e9
        self.lists = 0
        self.releasing: dict[str, str] = {}
        self.drain: dict[str, float] = {}
        self.gone: dict[str, float] = {}  # released, to be told to the leaders
        self.troubles = ""
        self.catalog = MachineCatalog(
            policy,
            membership,
            agents,
            state_store,
            replica,
            self.cloud,
            job_index.gate,
            self._trouble,
        )

    @property
    def types(self) -> dict[str, cloud_api.MachineType]:
        """The machine types that the cloud offers, by name."""
        return self.catalog.known

    def _trouble(self, reason: str) -> None:
        if reason != self.troubles:
            if reason:
                log.info("cloud trouble cause=%s", reason[:80])
            else:
                log.info("cloud answers again")
            self.troubles = reason

    # --- the leader's loop --------------------------------------------------------

    async def run(self) -> None:
        """The leader's loop: read the list, return machines, rent others."""
        while True:
            token = self.membership.verified_cluster_leader()
            if token is None or self.replica.revision < 0:
                if self.membership.cluster_leader_token is None:
                    self.led_since = None
                await trio.sleep(0.3)
                continue
            if (
                self.led_since is None
                or self.led_token != token
                or self.led_since < self.membership.resumed_at()
            ):
                # A new leader knows nothing of earlier hires until it has read the list.
                self.led_since = trio.current_time()
                self.led_token = token
                self.lists = 0
                self.unseen.clear()
                self.booting.clear()
                self.listed.clear()
                self.scale_out.pending = None
                self.drain.clear()
                log.info("leading token=%d", token)
            try:
                await self._list()
                await self._judge()
                await self._release()
                if self.lists:
                    await self.scale_out.hire(token)
                self._trouble("")
            except (CloudUnavailable, msgspec.MsgspecError) as error:
                self._trouble(str(error))
            except InsufficientCapacity:
                pass
            await trio.sleep(min(2.0, self.policy.list_every / 3))

    async def _list(self) -> None:
        now = trio.current_time()
        if self.lists and now - self._listed_at < self.policy.list_every:
            return
        found: dict[str, cloud_api.ListedMachine] = {}
        after = ""
        while True:
            since = f"since={after}&" if after else ""
            body = await self.cloud.call("GET", f"/machines?{since}limit=500")
            page = msgspec.json.decode(body, type=cloud_api.MachineList)
            found.update((m.name, m) for m in page.machines)
            if not page.more or not page.machines:
                break
            after = page.machines[-1].name
        self._listed_at = now
        self.lists += 1
        for name in self.listed:
            if name not in found:
                self.absent_since.setdefault(name, now)
        for name, machine in found.items():
            self.absent_since.pop(name, None)
            self.listed[name] = machine
        # A list can be older than the one before: only long absence counts.
        lag = self.settings.deployment.cloud.list_lag_s * 2
        for name, since_ in list(self.absent_since.items()):
            if now - since_ > lag:
                self.listed.pop(name, None)
                del self.absent_since[name]

    _listed_at = -1e9
    _observed_at = -1e9

    def statuses(self) -> dict[str, MachineStatus]:
        """Every machine that any shard has told of, by name."""
        return {
            m.name: m for status in self.scheduler.statuses.newest.values() for m in status.machines
        }

    async def _judge(self) -> None:
        """Which machines to return: failed, stuck in boot, silent, unhealthy, or idle."""
        now = trio.current_time()
        statuses = self.statuses()
        self._judge_booting(statuses, now)
        for name, machine in list(self.listed.items()):
            if name not in self.gone:
                self._judge_listed(name, machine, statuses, now)
        for name, status in statuses.items():
            if name not in self.gone:
                self._judge_reported(name, status, now)
        if now - self.demand_at >= self.policy.period:
            self.demand_at = now
            self._observe_demand(now)
        self._idle(statuses, now)
        self._return_drained(statuses)

    def _boot_limit(self, machine_type: cloud_api.MachineType | None) -> float:
        """Seconds after which a machine that is still not up never will be."""
        return self._boot_of(machine_type) * BOOTS + self.settings.deployment.cloud.list_lag_s

    @staticmethod
    def _boot_of(machine_type: cloud_api.MachineType | None) -> float:
        return machine_type.boot if machine_type else USUAL_BOOT_S

    def _judge_booting(self, statuses: dict[str, MachineStatus], now: float) -> None:
        for name, booting in list(self.booting.items()):
            if name in statuses:
                del self.booting[name]
            elif now - booting.since > self._boot_limit(self.types.get(booting.group.type)):
                del self.booting[name]
                self._return(name, "never came up")

    def _judge_listed(
        self,
        name: str,
        machine: cloud_api.ListedMachine,
        statuses: dict[str, MachineStatus],
        now: float,
    ) -> None:
        machine_type = self.types.get(machine.type)
        if machine.state == cloud_api.FAILED:
            self._return(name, "failed")
        elif machine.state == cloud_api.BOOTING and name not in statuses:
            if machine.age > self._boot_limit(machine_type):
                self._return(name, "never came up")
            elif name not in self.booting:
                group = MachineGroupKey(machine.type, machine.zone, machine.spot)
                self.booting[name] = Booting(group, now - machine.age)
        elif name in statuses or not self._vouched(name):
            # Right after a failover nobody has heard a shard's machines yet.
            self.unseen.pop(name, None)
        elif machine.age > self._boot_of(machine_type) * BOOTS:
            since = self.unseen.setdefault(name, now)
            if now - since > self.policy.silence * 2:
                self._return(name, "never reported")

    def _judge_reported(self, name: str, status: MachineStatus, now: float) -> None:
        if status.flag in SILENT_FLAGS:
            # Unheard: a failover waits for it. Unresponsive: it reports, but its lease runs
            # out all the same. Lost: its lease is over, its tasks go elsewhere and others
            # are hired in its place; it may only hang, or its zone be cut off, and if
            # it is dead the list soon says so. Returned at once, dozens that were about
            # to go on would have to boot anew.
            limit = self.policy.silence / (1 if status.flag == MachineFlag.LOST else 2)
            silence = self.silences.get(name)
            if silence is not None and now - silence.since > limit:
                self._return(name, "silent")
        if status.flag == MachineFlag.NOTICE and status.tasks == 0:
            self._return(name, "taken back")
        if status.flag == MachineFlag.UNHEALTHY and status.tasks == 0:
            self._return(name, "unhealthy")

    def _return_drained(self, statuses: dict[str, MachineStatus]) -> None:
        for name in list(self.drain):
            status = statuses.get(name)
            if status is None:
                del self.drain[name]
            elif status.flag == MachineFlag.DRAINING and status.tasks == 0:
                del self.drain[name]
                self._return(name, "idle")

    async def run_silences(self) -> None:
        """Observe silent machines on every node, whether it leads or not.

        A new leader would otherwise begin to count anew, and the shard that waits for a dead
        machine with it, though all nodes have known of it for long.
        """
        while True:
            await trio.sleep(self.policy.heartbeat_interval)
            self._observe_silences()

    def _observe_silences(self) -> None:
        now = trio.current_time()
        if self.membership.resumed_at() > self._observed_at:
            self.silences.clear()  # nobody was listening
        self._observed_at = now
        for name, status in self.statuses().items():
            if status.flag not in SILENT_FLAGS:
                self.silences.pop(name, None)
            elif self._is_fresh(status.name, now):
                self.silences.setdefault(name, Silence(now, now)).seen_at = now
        # What nobody has confirmed for long may have ended unseen.
        gap = self.settings.deployment.workers.lease_s / 2
        for name in [n for n, s in self.silences.items() if now - s.seen_at > gap]:
            del self.silences[name]

    def _is_fresh(self, machine: str, now: float) -> bool:
        """Whether the status of the machine's part is our own or was heard of late."""
        shard = shard_of(machine, self.settings.deployment.count)
        if shard in self.scheduler.shards.states:
            return True
        return now - self.scheduler.statuses.received_at.get(shard, -1e9) < self.policy.session_ttl

    def _vouched(self, name: str) -> bool:
        """Whether the leader of the machine's part knows all its machines by now."""
        status = self.scheduler.statuses.newest.get(shard_of(name, self.settings.deployment.count))
        return status is not None and status.reconciled

    def _return(self, name: str, cause: str) -> None:
        if name not in self.releasing:
            log.info("returning machine=%s cause=%s", name, cause)
            self.releasing[name] = cause

    def _idle(self, statuses: dict[str, MachineStatus], now: float) -> None:
        """Idle machines go back, dearest first, but for what keeps each class startable."""
        kept = self._kept(statuses)
        waits = self._waiting_specs()
        for name, status in statuses.items():
            if status.flag or status.tasks or name in kept or name in self.drain:
                continue
            if status.idle_for < self.policy.idle_release:
                continue
            if self._needed(status, waits):
                continue
            self.drain[name] = now

    def _waiting_specs(self) -> list[user_api.JobSpec]:
        """What waits and its team's limit allows: each shape of need once."""
        found: dict[tuple[object, ...], user_api.JobSpec] = {}
        for shard in self.scheduler.statuses.newest.values():
            for id in shard.pending:
                job = self.job_index.open.get(id)
                if job is not None:
                    spec = job.spec
                    key = (resource_request(spec), spec.team, spec.types, spec.zone, spec.spot)
                    found.setdefault(key, spec)
        return [spec for spec in found.values() if self.scheduler.quotas.limit_left(spec)]

    def _needed(self, status: MachineStatus, waits: list[user_api.JobSpec]) -> bool:
        machine_type = self.types.get(status.type)
        return machine_type is None or any(
            allows_machine_type(spec, machine_type, status.zone, status.spot) for spec in waits
        )

    def _observe_demand(self, now: float) -> None:
        """Remember how many tasks of each shape ran or waited at once lately."""
        counts: dict[tuple[object, ...], int] = {}
        for job in self.job_index.open.values():
            spec = job.spec
            left = spec.tasks - job.finished.count
            shape = (spec.job_class, spec.types, spec.zone, spec.spot)
            counts[shape] = counts.get(shape, 0) + min(
                left,
                1
                + self.scheduler.quotas.limit_left(spec)
                + self.scheduler.statuses.running(job.id),
            )
        window = self.policy.ready_for
        for key, count in counts.items():
            self.demand.setdefault(key, []).append((now, count))
        for key in list(self.demand):
            self.demand[key] = [r for r in self.demand[key] if now - r[0] < window]
            if not self.demand[key]:
                del self.demand[key]

    def _kept(self, statuses: dict[str, MachineStatus]) -> set[str]:
        """Machines kept ready: where a class can't wait for a boot, its recent peak.

        A class whose aim leaves less time than two boots would miss it by hiring only
        on demand; what others need can be hired when it is needed.
        """
        keep: set[str] = set()
        for shape, spec in self.scheduler.shards.recent_jobs.items():
            peak = max((n for _, n in self.demand.get(shape, ())), default=1)
            able = []
            for name, status in statuses.items():
                machine_type = self.types.get(status.type)
                if machine_type is None or status.flag or name in self.drain:
                    continue
                if self.scheduler.priorities.slack(spec) > machine_type.boot * 2:
                    continue
                if allows_machine_type(spec, machine_type, status.zone, status.spot):
                    fit = count_fitting(resource_request(spec), capacity_of(machine_type))
                    price = (
                        (machine_type.spot_price or machine_type.price)
                        if status.spot
                        else machine_type.price
                    )
                    able.append((price / fit, name, fit))
            for _, name, fit in sorted(able):
                if peak <= 0:
                    break
                keep.add(name)
                peak -= fit
        return keep

    async def _release(self) -> None:
        while self.releasing and self.membership.verified_cluster_leader() is not None:
            names = list(self.releasing)[:100]
            await self.cloud.call(
                "POST", "/machines/release", encode(cloud_api.MachineNames(names))
            )
            now = trio.current_time()
            for name in names:
                self.releasing.pop(name, None)
                self.listed.pop(name, None)
                self.booting.pop(name, None)
                self.gone[name] = now
                # The answer is the proof that all on it is gone.
                self.agents.machine_terminated(name)

    # --- what others are told -------------------------------------------------------------

    def released_names(self) -> list[str]:
        """Machines that the cloud has confirmed gone lately."""
        now = trio.current_time()
        for name in [n for n, at in self.gone.items() if now - at > 120]:
            del self.gone[name]
        return list(self.gone)

    def drain_names(self) -> list[str]:
        """Machines that are to take no more work."""
        return list(self.drain)

    def take_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """What the leader says about machines of ours."""
        for name in heartbeat.released:
            if name not in self.agents.terminated or name in self.agents.machines:
                self.agents.machine_terminated(name)
        if heartbeat.node == self.membership.leader(0):
            self._apply_drain(heartbeat.drain)

    def _apply_drain(self, names: Iterable[str]) -> None:
        wanted = set(names)
        for machine in self.agents.machines.values():
            machine.draining = machine.name in wanted

    def own_drain(self) -> None:
        """Apply the leader's drains to the leader's own machines."""
        if self.membership.cluster_leader_token is not None:
            self._apply_drain(self.drain)
