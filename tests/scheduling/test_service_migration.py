"""Zone caps of services whose replicas are migrated one by one."""

from __future__ import annotations

import json
import random
from collections import Counter

import pytest
import trio

from pitchtally.api.validation import parse_job
from pitchtally.jobs.index import Job
from pitchtally.jobs.job_record import OPEN, JobRecord, TaskRange
from pitchtally.scheduling.rebalancing.service_migration import (
    ReplicaMigration,
    migrated_caps,
    zone_limits,
)
from pitchtally.scheduling.shards.allocations import max_tasks_in_zone

from ..harness.services import service
from ..harness.simulation import submission


@pytest.mark.parametrize("seed", range(20))
def test_caps_of_migrated_replicas_never_exceed_the_share_of_a_zone(seed: int) -> None:
    """Whatever replicas are lost and migrated, no zone may get more than half of them."""

    async def main() -> None:
        migrate_at_random(seed)

    trio.run(main)


def migrate_at_random(seed: int) -> None:
    rng = random.Random(seed)
    spec = parse_job(
        json.dumps(submission(service(1, rows=rng.choice([2, 3, 5, 8]), spread=True))).encode()
    )
    max_in_zone = max_tasks_in_zone(spec)
    record = JobRecord(OPEN, spec.tasks, spec, ranges=[TaskRange(0, spec.tasks, 0)])
    replicas = {shard: Counter[str]() for shard in range(3)}
    for zone in ("a", "b", "a", "b", "a", "b", "a", "b")[: spec.tasks]:
        replicas[0][zone] += 1
    for _ in range(30):
        shard = rng.choice([p for p in replicas if replicas[p].total()])
        lost_zone = rng.choice(sorted(replicas[shard].elements()))
        replicas[shard][lost_zone] -= 1
        target = rng.randrange(3)
        job_ = Job("wk-1", record, 1, 8)
        in_shard = {zone: replicas[shard][zone] for zone in ("a", "b", "c")}
        limits = zone_limits(job_, in_shard, shard)
        zone = rng.choice([z for z, n in limits.items() if n > 0])
        record.zone_caps = migrated_caps(job_, in_shard, shard, ReplicaMigration(target, {zone: 1}))
        replicas[target][zone] += 1
        for checked_zone in in_shard:
            zone_caps = [n for _, z, n in record.zone_caps if z == checked_zone]
            assert sum(zone_caps) <= max_in_zone
            assert all(
                n <= cap_of(record, p, checked_zone)
                for p in replicas
                for n in [replicas[p][checked_zone]]
            )


def cap_of(record: JobRecord, shard: int, zone: str) -> int:
    return sum(n for p, z, n in record.zone_caps if (p, z) == (shard, zone))
