"""Scale in: drains idle machines and terminates them once they are empty."""

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

# Jobs whose slack is at most this many boot times can't wait for a launch: they get standby
# machines.
MAX_STANDBY_SLACK_BOOTS = 2


class _StandbyOption(NamedTuple):
    """A machine that can be kept on standby for a job shape; the cheapest sorts first."""

    price_per_task: float
    name: str
    tasks: int


class ScaleIn:
    """Drains and terminates idle machines that are not needed; run by the cluster leader."""

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
        self._draining: dict[str, None] = {}  # used as an ordered set

    @property
    def draining(self) -> Collection[str]:
        """Names of the machines that take no more tasks."""
        return self._draining.keys()

    def reset(self) -> None:
        """Clear the drains of an earlier leadership."""
        self._draining.clear()

    def check(self, statuses: Mapping[str, MachineStatus], now: float) -> None:
        """Drain idle machines, and request the termination of drained ones that are empty."""
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
        """Return whether a queued job may run on the machine, or its type isn't known."""
        machine_type = self._machine_types().get(status.type)
        return machine_type is None or any(
            allows_machine_type(spec, machine_type, status.zone, status.spot) for spec in queued
        )

    def _standby_machines(self, statuses: Mapping[str, MachineStatus]) -> set[str]:
        """Return machines to keep, even if idle, for the recent peak demand of each job shape.

        This covers only shapes whose slack is at most `MAX_STANDBY_SLACK_BOOTS` (two) boot
        times: they would miss their objective if machines were launched on demand.
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
        """Yield usable machines that the job may run on, if its slack is short."""
        types = self._machine_types()
        slack = self._scheduler.slack(spec)
        for status in statuses:
            machine_type = types.get(status.type)
            if machine_type is None or status.flag or status.name in self._draining:
                continue
            if slack > machine_type.boot_time * MAX_STANDBY_SLACK_BOOTS:
                continue
            group = MachineGroupKey(status.type, status.zone, status.spot)
            fitting_tasks = tasks_per_machine(spec, group, types)
            if fitting_tasks:
                price = price_of(machine_type, spot=status.spot)
                yield _StandbyOption(price / fitting_tasks, status.name, fitting_tasks)


def apply_drains(names: Iterable[str], machines: Iterable[Machine]) -> None:
    """Drain exactly the named machines among those of this node's shards."""
    draining = set(names)
    for machine in machines:
        machine.draining = machine.name in draining
