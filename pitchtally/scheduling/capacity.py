"""What fits where: needs, rooms, and gangs over rooms; pure functions."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from ..agents.machine import Placement
from ..jobs.index import Job
from ..jobs.job_record import TaskRange
from ..jobs.resources import capacity_of, fits, resource_request
from ..protocol import cloud_api, user_api

RANK = {rank: i for i, rank in enumerate(user_api.RANKS)}


def stays_in_one_shard(spec: user_api.JobSpec) -> bool:
    """Jobs that stay in one shard: their tasks constrain one another."""
    return spec.kind == user_api.GANG or (spec.tasks > 1 and (spec.one_zone or spec.spread))


def is_gang(placement: Placement) -> bool:
    """Whether the placement belongs to a gang."""
    return placement.spec.kind == user_api.GANG


def is_fully_assigned(job: Job) -> bool:
    """Whether every task of the job is assigned to a shard."""
    return sum(r.tasks for r in job.record.ranges) >= job.record.tasks


def allows_machine_type(
    spec: user_api.JobSpec, machine_type: cloud_api.MachineType, zone: str, spot: bool
) -> bool:
    """Whether a job allows machines of this type, zone and kind, and fits on one."""
    if spec.types is not None and machine_type.name not in spec.types:
        return False
    if spec.zone is not None and spec.zone != zone:
        return False
    if spot and not spec.spot:
        return False
    return fits(resource_request(spec), capacity_of(machine_type))


def allows_machine(job: Job, type_: str, zone: str, spot: bool) -> bool:
    """Whether a job allows machines of this type, zone and kind."""
    spec = job.spec
    if spec.types is not None and type_ not in spec.types:
        return False
    if spec.zone is not None and zone != spec.zone:
        return False
    return spec.spot or not spot


def may_be_active(job: Job, ranges: Iterable[TaskRange]) -> bool:
    """Whether a task in these ranges may be on a machine, or be started by its shard."""
    return any(not job.is_finished(t) for a, b, _ in ranges for t in range(a, b))


def share_ratio(spec: user_api.JobSpec, other: Job | None) -> float:
    """How much a waiting task of another job stands in this one's way; None: it is over."""
    if other is None or RANK[other.spec.rank] > RANK[spec.rank]:
        return 0.0
    return min(1.0, other.spec.cpus / max(spec.cpus, 1e-3))


class Plan(NamedTuple):
    """Who gets a job's tasks, and what binds gangs over several shards."""

    ranges: list[TaskRange]
    zone: str | None = None
    attempt: int = 0
    caps: list[tuple[int, str, int]] = []


UNASSIGNED = Plan([])


class CapacitySource(IntEnum):
    """What a gang may take its room from, in the order in which it is tried."""

    FREE = 0
    PREEMPTIBLE = 1  # what lower ranks hold as well
    OVER_GUARANTEE = 2  # what teams beyond their guarantee hold as well
    RESERVED = 3  # after a long wait: whatever comes free first, kept for it meanwhile


def plan_gang(
    capacities: dict[tuple[int, str], int], tasks: int, *, one_zone: bool, spread: bool
) -> dict[tuple[int, str], int] | None:
    """Share a gang out over (part, zone) rooms, widest first; None if it doesn't fit."""
    zones = sorted({zone for _, zone in capacities})
    choices = [[zone] for zone in zones] if one_zone else [zones]
    limit = (tasks + 1) // 2 if spread and tasks > 1 else tasks
    best: dict[tuple[int, str], int] | None = None
    for choice in choices:
        left = tasks
        inside = dict.fromkeys(choice, limit)
        plan: dict[tuple[int, str], int] = {}
        for (shard, zone), available in sorted(capacities.items(), key=lambda r: -r[1]):
            n = min(available, left, inside.get(zone, 0))
            if n:
                plan[(shard, zone)] = n
                left -= n
                inside[zone] -= n
        # Fewer shards, fewer leaders whose places have to come free at the same time.
        if not left and (best is None or len(plan) < len(best)):
            best = plan
    return best
