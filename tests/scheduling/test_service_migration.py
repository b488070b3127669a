"""Zone caps of a spread service whose replicas migrate one at a time."""

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
    caps_after_migration,
    remaining_by_zone,
)
from pitchtally.scheduling.shards.allocations import max_tasks_in_zone

from ..harness.services import service
from ..harness.simulation import submission


@pytest.mark.parametrize("seed", range(20))
def test_caps_of_migrated_replicas_never_exceed_the_share_of_a_zone(seed: int) -> None:
    """In any sequence of lost and migrated replicas, no zone gets more than half of them."""

    async def main() -> None:
        check_caps_over_random_migrations(seed)

    trio.run(main)


def check_caps_over_random_migrations(seed: int) -> None:
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
        shard = rng.choice(
            [shard_number for shard_number in replicas if replicas[shard_number].total()]
        )
        lost_zone = rng.choice(sorted(replicas[shard].elements()))
        replicas[shard][lost_zone] -= 1
        target = rng.randrange(3)
        job = Job("wk-1", record, 1, 8)
        in_shard = {zone: replicas[shard][zone] for zone in ("a", "b", "c")}
        remaining_replicas = remaining_by_zone(job, in_shard, shard)
        zone = rng.choice(
            [zone_name for zone_name, count in remaining_replicas.items() if count > 0]
        )
        record.zone_caps = caps_after_migration(
            job, in_shard, shard, ReplicaMigration(target, {zone: 1})
        )
        replicas[target][zone] += 1
        for checked_zone in in_shard:
            zone_caps = [
                count for _, zone_name, count in record.zone_caps if zone_name == checked_zone
            ]
            assert sum(zone_caps) <= max_in_zone
            assert all(
                count <= cap_of(record, shard_number, checked_zone)
                for shard_number in replicas
                for count in [replicas[shard_number][checked_zone]]
            )


def cap_of(record: JobRecord, shard: int, zone: str) -> int:
    return sum(
        cap
        for cap_shard, cap_zone, cap in record.zone_caps
        if (cap_shard, cap_zone) == (shard, zone)
    )
