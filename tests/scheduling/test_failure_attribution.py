"""Failures are attributed to jobs or machines, and neither causes a storm of retries."""

from __future__ import annotations

import pytest
import trio

from pitchtally.scheduling.shards.failure_attribution import JobHealth, classify_job, is_unhealthy

from ..harness.simulation import Simulation, job, run

GOOD, UNKNOWN, FAULTY = JobHealth.GOOD, JobHealth.UNKNOWN, JobHealth.FAULTY

JOB_HEALTH: list[tuple[bool, int, list[float], JobHealth]] = [
    # a task is done, machines that it failed on, how long its tasks run; failures took 3 s
    (False, 0, [], UNKNOWN),
    (False, 1, [], UNKNOWN),
    (False, 2, [], FAULTY),
    (False, 9, [2.0, 8.0], FAULTY),
    (False, 2, [8.1], GOOD),  # longer than its failures took
    (True, 9, [], GOOD),
]


@pytest.mark.parametrize(("done", "machines", "running", "found"), JOB_HEALTH)
def test_health_of_a_job(done: bool, machines: int, running: list[float], found: JobHealth) -> None:
    assert classify_job(done, machines, 3.0, running, 2.0) is found


MACHINE_HEALTH: list[tuple[dict[str, tuple[int, JobHealth]], bool]] = [
    ({}, False),
    ({"a": (50, FAULTY), "b": (50, FAULTY), "c": (9, FAULTY)}, False),
    ({"a": (50, UNKNOWN), "b": (50, UNKNOWN)}, False),
    ({"a": (1, UNKNOWN), "b": (1, UNKNOWN), "c": (1, UNKNOWN)}, True),
    ({"a": (1, GOOD)}, False),
    ({"a": (3, GOOD)}, True),
    ({"a": (1, GOOD), "b": (1, GOOD)}, True),
]


@pytest.mark.parametrize(("failures", "found"), MACHINE_HEALTH)
def test_health_of_a_machine(failures: dict[str, tuple[int, JobHealth]], found: bool) -> None:
    counts = {id: n for id, (n, _) in failures.items()}
    assert is_unhealthy(counts, {id: s for id, (_, s) in failures.items()}) is found


def test_broken_jobs_cause_no_storm_and_blame_no_machine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Arrays that fail everywhere had healthy machines terminated, and hundreds of retries."""

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
        # Failures on two machines of a shard classify a job as faulty, each with as many tasks
        # as it holds at once.
        assert sim.cloud.rules.failures <= 3 * (6 * 8 + 3 * 8)
        before = sim.cloud.rules.failures
        await trio.sleep(60)
        assert 0 < sim.cloud.rules.failures - before <= 3 * 3 * 8  # still retried, rarely
        for number in (1, 2, 3):
            await sim.cancel(f"wk-{number:06d}")
        sim.check()

    run(monkeypatch, day)


def test_memory_of_failures_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """A job that failed on every machine runs once its mistake is corrected."""

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
