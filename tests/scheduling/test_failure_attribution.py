"""Failures are attributed to jobs or machines, and neither causes a flood of retries."""

from __future__ import annotations

import pytest
import trio

from pitchtally.scheduling.shards.failure_attribution import JobHealth, classify_job, is_unhealthy

from ..harness.simulation import Simulation, job, run

GOOD, UNKNOWN, FAULTY = JobHealth.GOOD, JobHealth.UNKNOWN, JobHealth.FAULTY

JOB_HEALTH: list[tuple[bool, int, list[float], JobHealth]] = [
    # (whether a task has finished, number of machines on which the job failed, seconds that its
    # running tasks have run, health); its longest failed run took 3 s.
    (False, 0, [], UNKNOWN),
    (False, 1, [], UNKNOWN),
    (False, 2, [], FAULTY),
    (False, 9, [2.0, 8.0], FAULTY),
    (False, 2, [8.1], GOOD),  # longer than its failed runs took
    (True, 9, [], GOOD),
]


@pytest.mark.parametrize(("has_finished_task", "machines", "running_s", "expected"), JOB_HEALTH)
def test_health_of_a_job(
    has_finished_task: bool, machines: int, running_s: list[float], expected: JobHealth
) -> None:
    assert classify_job(has_finished_task, machines, 3.0, running_s, 2.0) is expected


MACHINE_HEALTH: list[tuple[dict[str, tuple[int, JobHealth]], bool]] = [
    ({}, False),
    ({"a": (50, FAULTY), "b": (50, FAULTY), "c": (9, FAULTY)}, False),
    ({"a": (50, UNKNOWN), "b": (50, UNKNOWN)}, False),
    ({"a": (1, UNKNOWN), "b": (1, UNKNOWN), "c": (1, UNKNOWN)}, True),
    ({"a": (1, GOOD)}, False),
    ({"a": (3, GOOD)}, True),
    ({"a": (1, GOOD), "b": (1, GOOD)}, True),
]


@pytest.mark.parametrize(("failures", "expected"), MACHINE_HEALTH)
def test_health_of_a_machine(failures: dict[str, tuple[int, JobHealth]], expected: bool) -> None:
    counts = {id: count for id, (count, _) in failures.items()}
    assert is_unhealthy(counts, {id: health for id, (_, health) in failures.items()}) is expected


def test_faulty_jobs_cause_no_retry_flood_and_no_quarantine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Arrays that fail everywhere must not cause quarantines or a flood of retries.

    Such arrays once caused healthy machines to be terminated, and hundreds of retries.
    """

    async def day(sim: Simulation) -> None:
        for number in (1, 2, 3):
            await sim.submit(job(number, rows=40, vcpus=1.0, broken=True))
        good = [job(n, rows=6, vcpus=1.0) for n in range(4, 8)]
        for spec in good:
            await sim.submit(spec)
        await sim.wait_until_finished([spec["ref"] for spec in good], limit=60)
        await trio.sleep(60)
        assert not any(
            m.quarantined_until > 0
            for c in sim.controllers.values()
            for m in c.agents.machines.values()
        )
        # Failures on two machines of a shard classify a job as faulty; each machine fails as many
        # tasks as fit on it at once.
        assert sim.cloud.rules.failures <= 3 * (6 * 8 + 3 * 8)
        before = sim.cloud.rules.failures
        await trio.sleep(60)
        assert 0 < sim.cloud.rules.failures - before <= 3 * 3 * 8  # still retried, but rarely
        for number in (1, 2, 3):
            await sim.cancel(f"wk-{number:06d}")
        sim.check()

    run(monkeypatch, day)


def test_recorded_failures_expire(monkeypatch: pytest.MonkeyPatch) -> None:
    """A job that failed on every machine runs after its fault has been corrected."""

    async def day(sim: Simulation) -> None:
        sim.cloud.capacity = len(sim.cloud.agents)  # the cloud has no other machine
        spec = job(1, rows=10, vcpus=1.0, broken=True)
        await sim.submit(spec)
        await trio.sleep(40)
        assert sim.cloud.rules.failures > 0
        spec["broken"] = False
        await sim.wait_until_finished([spec["ref"]], limit=90)
        assert sim.final_stages[spec["ref"]] == "done"

    run(monkeypatch, day)
