"""Cluster states for tests of the autoscaler's components without a controller."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import msgspec
import trio
import trio.testing

from pitchtally.autoscaling.config import AutoscalerConfig
from pitchtally.autoscaling.scheduler_view import SchedulerView
from pitchtally.config import policy
from pitchtally.jobs.index import Job
from pitchtally.jobs.job_record import OPEN, JobRecord
from pitchtally.jobs.resources import NO_RESOURCES, Resources
from pitchtally.membership.messages import MachineFlag, MachineStatus, ShardStatus
from pitchtally.protocol import cloud_api
from pitchtally.protocol.user_api import JobSpec

from ..harness.simulation import job, settings, submission

BIG = cloud_api.MachineType("big", 8.0, 32.0, price=1.0, spot_price=0.3, boot_time=3.0, zones=["a"])
SMALL = cloud_api.MachineType("small", 4.0, 32.0, price=0.4, boot_time=3.0, zones=["a"])


def config() -> AutoscalerConfig:
    """Return the configuration for the simulation's settings and the default policy."""
    node_settings = settings("n0")
    return AutoscalerConfig.from_settings(node_settings, policy.parse("", node_settings))


def open_job(number: int, **overrides: Any) -> Job:
    """Return an open job with no tasks assigned to a shard."""
    spec = msgspec.convert(submission(job(number, **overrides)), JobSpec)
    return Job(spec.id, JobRecord(OPEN, spec.tasks, spec), 1, 10_000)


def machine(
    name: str,
    flag: MachineFlag = MachineFlag.USABLE,
    *,
    type: str = "big",
    tasks: int = 0,
    idle_for: float = 0.0,
    free: Resources = NO_RESOURCES,
) -> MachineStatus:
    """Return the status of a machine as its shard leader reports it."""
    return MachineStatus(name, type, "a", False, free, NO_RESOURCES, tasks, idle_for, flag)


def shard(machines: Iterable[MachineStatus], **pending_tasks: int) -> ShardStatus:
    """Return the status of a reconciled shard with these machines and pending tasks."""
    pending = {id.replace("_", "-"): count for id, count in pending_tasks.items()}
    return ShardStatus(0, 7, True, 0.0, 0.0, list(machines), [], pending)


def view(
    statuses: dict[int, ShardStatus], *, slack: float = 10.0, within_limit: int = 1000
) -> SchedulerView:
    """Return a view of a scheduler whose node leads all these shards."""
    return SchedulerView(
        shard_statuses=lambda: statuses,
        status_received_at=lambda shard: None,
        leads_shard=lambda shard: True,
        running_tasks=lambda id: 0,
        tasks_within_limit=lambda spec: within_limit,
        slack=lambda spec: slack,
        task_seconds=lambda spec: spec.estimate,
        recent_specs=list,
    )


def on_mock_clock(body: Callable[[], Awaitable[None]]) -> None:
    """Run a test on a mock clock that advances when all tasks are waiting."""
    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))
