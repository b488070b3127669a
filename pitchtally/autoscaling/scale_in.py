"""Scale in: idle machines are drained, and terminated once they are empty."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from ..agents.machine import Machine, MachineGroupKey
from ..jobs.index import Job
from ..membership.messages import MachineFlag, MachineStatus
from ..protocol import cloud_api, user_api
from ..scheduling.capacity import allows_machine_type
from .config import AutoscalerConfig
from .demand import JobShape, RecentPeaks, queued_specs, tasks_per_machine
from .scale_out import price_of
from .scheduler_view import SchedulerView
from .terminations import TerminationCause, Terminations

# A job whose slack is at most this many boots can't wait for a machine to be launched.
MAX_STANDBY_SLACK_BOOTS = 2


class _StandbyOption(NamedTuple):
    """A machine that can be kept ready for a job shape, the cheapest first in order."""

    price_per_task: float
    name: str
    tasks: int


class ScaleIn:
    """Drains machines that are idle and not needed; run by the cluster leader."""

    def __init__(
        self,
        config: AutoscalerConfig,
        machine_types: Callable[[], Mapping[str, cloud_api.MachineType]],
        open_jobs: Mapping[str, Job],
        scheduler: SchedulerView,
        terminations: Terminations,
    ):
        self._config = config
        self._machine_types = machine_types
        self._open_jobs = open_jobs
        self._scheduler = scheduler
        self._terminations = terminations
        self._peaks = RecentPeaks(config.demand_window)
        self._sampled_at = -math.inf
        self._draining: dict[str, None] = {}  # an ordered set

    @property
    def draining(self) -> Collection[str]:
        """Machines that take no more tasks."""
        return self._draining.keys()

    def reset(self) -> None:
        """Forget the drains of an earlier leadership."""
        self._draining.clear()

    def check(self, statuses: Mapping[str, MachineStatus], now: float) -> None:
        """Drain machines that are idle, and request the termination of those that are drained."""
        if now - self._sampled_at >= self._config.demand_interval:
            self._sampled_at = now
            self._peaks.sample(now, self._open_jobs.values(), self._scheduler)
        self._drain_idle(statuses)
        self._terminate_drained(statuses)

    def _drain_idle(self, statuses: Mapping[str, MachineStatus]) -> None:
        standby = self._standby_machines(statuses)
        queued = queued_specs(
            self._scheduler.shard_statuses().values(), self._open_jobs, self._scheduler
        )
        for name, status in statuses.items():
            if status.flag or status.tasks or name in standby or name in self._draining:
                continue
            if status.idle_for < self._config.idle_timeout:
                continue
            if not self._is_needed(status, queued):
                self._draining[name] = None

    def _terminate_drained(self, statuses: Mapping[str, MachineStatus]) -> None:
        for name in list(self._draining):
            status = statuses.get(name)
            if status is None:
                del self._draining[name]
            elif status.flag == MachineFlag.DRAINING and status.tasks == 0:
                del self._draining[name]
                self._terminations.request(name, TerminationCause.IDLE)

    def _is_needed(self, status: MachineStatus, queued: Iterable[user_api.JobSpec]) -> bool:
        """Whether a queued job may run on the machine; also if its type isn't known."""
        machine_type = self._machine_types().get(status.type)
        return machine_type is None or any(
            allows_machine_type(spec, machine_type, status.zone, status.spot) for spec in queued
        )

    def _standby_machines(self, statuses: Mapping[str, MachineStatus]) -> set[str]:
        """Machines that stay although they are idle: for each job shape its recent peak.

        Only for shapes whose slack is shorter than two boots: these would miss their
        objective if machines were launched on demand.
        """
        standby: set[str] = set()
        for spec in self._scheduler.recent_specs():
            missing_tasks = self._peaks.peak(JobShape.of(spec))
            for option in sorted(self._standby_options(spec, statuses.values())):
                if missing_tasks <= 0:
                    break
                standby.add(option.name)
                missing_tasks -= option.tasks
        return standby

    def _standby_options(
        self, spec: user_api.JobSpec, statuses: Iterable[MachineStatus]
    ) -> Iterable[_StandbyOption]:
        """Usable machines that a job of short slack may run on."""
        types = self._machine_types()
        slack = self._scheduler.slack(spec)
        for status in statuses:
            machine_type = types.get(status.type)
            if machine_type is None or status.flag or status.name in self._draining:
                continue
            if slack > machine_type.boot * MAX_STANDBY_SLACK_BOOTS:
                continue
            group = MachineGroupKey(status.type, status.zone, status.spot)
            fitting_tasks = tasks_per_machine(spec, group, types)
            if fitting_tasks:
                price = price_of(machine_type, spot=status.spot)
                yield _StandbyOption(price / fitting_tasks, status.name, fitting_tasks)


def apply_drains(names: Iterable[str], machines: Iterable[Machine]) -> None:
    """Drain the machines of this node's shards that the cluster leader names, and no others."""
    draining = set(names)
    for machine in machines:
        machine.draining = machine.name in draining
