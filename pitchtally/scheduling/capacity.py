"""Pure functions on which machines a job allows and where the tasks of a gang fit."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import NamedTuple

from ..agents.machine import Placement
from ..jobs.index import Job
from ..jobs.job_record import TaskRange, ZoneCap
from ..jobs.resources import capacity_of, fits, resource_request
from ..protocol import cloud_api, user_api

# Position of each rank in the priority order: a lower number comes first.
RANK = {rank: i for i, rank in enumerate(user_api.RANKS)}


def stays_in_one_shard(spec: user_api.JobSpec) -> bool:
    """Return whether all tasks of a job should go to one shard since they constrain one another."""
    return spec.kind == user_api.GANG or (spec.tasks > 1 and (spec.one_zone or spec.spread))


def is_gang(placement: Placement) -> bool:
    """Return whether the placement belongs to a gang."""
    return placement.spec.kind == user_api.GANG


def is_fully_assigned(job: Job) -> bool:
    """Return whether every task of the job is assigned to a shard."""
    return sum(r.tasks for r in job.record.ranges) >= job.record.tasks


def allows_machine_type(
    spec: user_api.JobSpec, machine_type: cloud_api.MachineType, zone: str, spot: bool
) -> bool:
    """Return whether a job allows machines of this type and zone, and a task of it fits on one.

    `spot`: whether the machines are spot instances.
    """
    if spec.types is not None and machine_type.name not in spec.types:
        return False
    if spec.zone is not None and spec.zone != zone:
        return False
    if spot and not spec.spot:
        return False
    return fits(resource_request(spec), capacity_of(machine_type))


def may_be_active(job: Job, ranges: Iterable[TaskRange]) -> bool:
    """Return whether a task in these ranges may be on a machine, or be started by its shard."""
    return any(
        not job.is_finished(task)
        for task_range in ranges
        for task in range(task_range.first, task_range.end)
    )


def displacement_ratio(spec: user_api.JobSpec, pending_job: Job | None) -> float:
    """Return how many tasks of `spec` one task of another pending job displaces, at most 1.

    `pending_job` is that job, None if it has ended. Jobs of lower rank displace none.
    """
    if pending_job is None or RANK[pending_job.spec.rank] > RANK[spec.rank]:
        return 0.0
    return min(1.0, pending_job.spec.cpus / max(spec.cpus, 1e-3))


class Plan(NamedTuple):
    """The shards that get a job's tasks, and the fields that bind a gang over several shards."""

    ranges: list[TaskRange]
    zone: str | None = None  # set for one-zone jobs
    attempt: int = 0  # set for gangs over several shards, see `JobRecord.attempt`
    zone_caps: list[ZoneCap] = []


# The plan of a job whose tasks are not assigned to any shard yet.
UNASSIGNED = Plan([])


class CapacitySource(IntEnum):
    """The capacity that a gang may use; planners try the members in this order."""

    FREE = 0
    PREEMPTIBLE = 1  # also capacity used by tasks of lower rank
    OVER_GUARANTEE = 2  # also capacity used by teams over their guarantee
    RESERVED = 3  # all of a machine, reserved until it is empty; for gangs pending too long


class ShardZone(NamedTuple):
    """One shard's machines in one zone."""

    shard: int
    zone: str


def plan_gang(
    capacities: Mapping[ShardZone, int], tasks: int, *, one_zone: bool, spread: bool
) -> dict[ShardZone, int] | None:
    """Distribute a gang over the capacities, largest first; return None if it doesn't fit.

    With `one_zone`, all tasks go to one zone; with `spread`, at most half of them, rounded up,
    go to any zone.
    """
    zones = sorted({zone for _, zone in capacities})
    zone_choices = [[zone] for zone in zones] if one_zone else [zones]
    zone_limit = (tasks + 1) // 2 if spread and tasks > 1 else tasks
    best: dict[ShardZone, int] | None = None
    for allowed_zones in zone_choices:
        unplaced = tasks
        left_in_zone = dict.fromkeys(allowed_zones, zone_limit)
        plan: dict[ShardZone, int] = {}
        for shard_zone, available in sorted(capacities.items(), key=lambda item: -item[1]):
            count = min(available, unplaced, left_in_zone.get(shard_zone.zone, 0))
            if count:
                plan[shard_zone] = count
                unplaced -= count
                left_in_zone[shard_zone.zone] -= count
        # A plan over fewer shards is preferred: every shard leader in it must have its capacity
        # available at the same time.
        if not unplaced and (best is None or len(plan) < len(best)):
            best = plan
    return best
