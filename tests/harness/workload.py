"""The jobs that simulated users submit, and the requests that they send afterwards."""

from __future__ import annotations

import random
from typing import Any

import trio

from .simulation import Simulation, job, submission

LONG_RUNNING = {"realS": 900.0, "ripenS": 900.0}
CANCELLED = ("wk-000007", "wk-000010")
# Team `tight` reaches its limit with the long-running tasks of job 10; cancelling that job frees
# CPUs for the team's other job.
JOBS: list[dict[str, Any]] = [
    job(1),
    job(2, rows=10, crew="tight", vcpus=1.0),
    job(3, cut="gang", rows=4, vcpus=3.0, ripenS=6.0, realS=6.0),
    job(4, cut="gang", rows=2, oneZone=True, rank="urgent"),
    job(5, rows=5, spread=True, realS=8.0),
    job(6, rows=30, vcpus=1.0, rank="idle", realS=6.0, gleaning=False),
    job(7, rows=6, vcpus=1.0, **LONG_RUNNING),
    job(8, rows=6, vcpus=1.0, oneZone=True, realS=9.0, ripenS=9.0),
    job(9, rows=3, vcpus=1.0, realBy=[2.0, 18.0, 45.0], ripenS=20.0),
    job(10, rows=4, crew="tight", vcpus=1.0, **LONG_RUNNING),
    job(11, rows=4, vcpus=1.0, parcel="a", realS=12.0, ripenS=12.0),
    job(12, rows=2, vcpus=1.0, realBy=[1.0, 50.0], ripenS=25.0, rank="urgent"),
]
IDS = [spec["ref"] for spec in JOBS]


# Submissions that every controller must refuse: a field is missing, or the job can never run.
INVALID_SUBMISSIONS: list[dict[str, Any]] = [
    *(
        {k: v for k, v in submission(job(888888)).items() if k != name}
        for name in ("crew", "rows", "vcpus", "cask", "oneZone", "ripenS")
    ),
    submission(job(888888, vcpus=99.0)),
    submission(job(888888, crew="nobody")),
    submission(job(888888, presses=["none"])),
    submission(job(888888, crew="tight", vcpus=7.0)),
]


async def simulate_users(sim: Simulation) -> None:
    """Poll every accepted job; at times repeat a submission, or send an invalid request.

    Invalid requests poll an unknown job or submit one that must be refused.
    """
    rng = random.Random(7)
    while True:
        for spec in [sim.cloud.rules.specs[id] for id in list(sim.invariants.accepted)]:
            node = rng.randrange(3)
            roll = rng.random()
            if roll < 0.1 and spec["ref"] in sim.invariants.accepted:
                await sim.send(
                    node, "POST", "/api/jobs", submission(spec), job_id=spec["ref"], repeat=True
                )
            elif roll < 0.15:
                await sim.send(node, "GET", "/api/jobs/wk-999999", job_id="wk-999999")
            elif roll < 0.2:
                invalid = rng.choice(INVALID_SUBMISSIONS)
                await sim.send(node, "POST", "/api/jobs", invalid, job_id="wk-888888")
            else:
                with trio.move_on_after(2.0):
                    await sim.poll(spec["ref"], node)
        await trio.sleep(0.7)
