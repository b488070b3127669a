"""Submissions are accepted once, in few transactions, and before users' retries end."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
import trio
import trio.testing

from pitchtally.config.settings import StateLimits
from pitchtally.http import HttpError, Request, Response

from ..harness.cluster_faults import restart
from ..harness.simulation import TIMES, Simulation, job, run, submission


def test_repeated_submission_of_a_known_id_is_answered_whatever_its_body(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def simulate(sim: Simulation) -> None:
        await sim.submit(job(1, rows=1))
        for node in range(3):
            answer = await sim.call(node, "POST", "/api/jobs", {"ref": "wk-000001", "rows": -1})
            assert answer.status == 200
            answer = await sim.call(node, "POST", "/api/jobs", {"ref": "wk-000002", "rows": -1})
            assert answer.status == 400
            assert "field" in json.loads(answer.body)
        await sim.wait_until_finished(["wk-000001"])

    run(monkeypatch, simulate)


def test_queued_submissions_share_a_transaction(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each submission is accepted once; a repeated one in a batch doesn't fail the others."""

    async def simulate(sim: Simulation) -> None:
        commits = 0
        handle = sim.state_store.handle

        async def delayed_handle(request: Request) -> Response:
            nonlocal commits
            if request.path == "/commit" and b"pt/jobs/" in request.body:
                commits += 1
                await trio.sleep(0.1)
            return await handle(request)

        sim.network.hosts[("10.2.0.1", 2379)] = ("state", delayed_handle)
        statuses: list[int] = []

        async def submit_one(number: int) -> None:
            spec = job(number, rows=1)
            sim.cloud.rules.specs[spec["ref"]] = spec
            body = {k: v for k, v in spec.items() if k != "realS"}
            statuses.append((await sim.call(0, "POST", "/api/jobs", body)).status)

        async with trio.open_nursery() as nursery:
            for number in (*range(1, 21), 7):
                nursery.start_soon(submit_one, number)
        assert sorted(statuses) == [200] + [201] * 20
        assert commits < 15
        sim.network.hosts[("10.2.0.1", 2379)] = ("state", handle)
        await sim.wait_until_finished([f"wk-{n:06d}" for n in range(1, 21)])

    run(monkeypatch, simulate)


def first_written_ranges(sim: Simulation, id: str) -> list[Any]:
    """Return the ranges in a job's record as it was first written."""
    values = [value for _, key, value in sim.state_store.log if key == f"pt/jobs/{id}"]
    ranges: list[Any] = values[0].get("ranges", [])
    return ranges


@pytest.mark.parametrize("cluster_leader", ["heard", "silent"])
def test_cluster_leader_assigns_a_small_job_before_its_record_is_written(
    cluster_leader: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A second write for each small job would exhaust the write rate under load.

    With a "silent" cluster leader, the accepting controller is partitioned from it.
    """

    async def simulate(sim: Simulation) -> None:
        sim.cloud.capacity = 4
        await sim.submit(job(1, rows=400, vcpus=1.0, realS=3.0, ripenS=3.0))
        await trio.sleep(8)
        if cluster_leader == "silent":
            sim.network.partition("n1", "n0")
        sim.cloud.rules.specs.update({f"wk-{n:06d}": job(n, rows=1) for n in range(10, 30)})
        for number in range(10, 30):
            submitted_at = trio.current_time()
            id = f"wk-{number:06d}"
            spec = sim.cloud.rules.specs[id]
            assert (await sim.send(1, "POST", "/api/jobs", submission(spec), job_id=id))[0] == 201
            assert trio.current_time() - submitted_at < 1.0
        assigned = [bool(first_written_ranges(sim, f"wk-{n:06d}")) for n in range(10, 30)]
        assert all(assigned) == (cluster_leader == "heard")
        sim.network.heal()
        await sim.wait_until_finished([f"wk-{n:06d}" for n in range(10, 30)])

    run(monkeypatch, simulate)


USER_RETRY_LIMIT_S = 60.0  # the protocol's bound on a user's retries


async def submit_with_retries(sim: Simulation, spec: dict[str, Any], rng: random.Random) -> bool:
    """Submit a job as the protocol says, at random controllers; return whether it was accepted."""
    sim.cloud.rules.specs[spec["ref"]] = spec
    started_at = trio.current_time()
    while trio.current_time() - started_at < USER_RETRY_LIMIT_S:
        retry_after = 1.0
        try:
            answer = await sim.call(rng.randrange(3), "POST", "/api/jobs", submission(spec))
            if answer.status in (200, 201):
                return True
            retry_after = max(retry_after, float(dict(answer.headers).get("Retry-After", "1")))
        except HttpError:
            pass
        await trio.sleep(retry_after + rng.random() * 0.3)
    return False


def test_every_submission_is_accepted_after_an_outage_under_load(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Submissions are admitted in order of first attempts, not by which retry arrives first."""

    async def simulate(sim: Simulation) -> None:
        sim.state_limits = StateLimits(rps=80, write_rps=15, value_kb=8, txn_ops=8)
        await restart(sim, after=0.5)
        sim.cloud.capacity = 12
        rng = random.Random(3)
        accepted: dict[str, bool] = {}

        async def submit_one(number: int) -> None:
            spec = job(number, rows=1, vcpus=0.25, realS=20.0, ripenS=20.0)
            accepted[spec["ref"]] = await submit_with_retries(sim, spec, rng)

        async with trio.open_nursery() as nursery:
            for number in range(1, 5 * 100 + 1):
                nursery.start_soon(submit_one, number)
                await trio.sleep(0.2)
                if number == 5 * 20:
                    sim.state_store.stop()
                elif number == 5 * 65:
                    sim.state_store.resume()
        assert [id for id, was_accepted in accepted.items() if not was_accepted] == []
        sim.check()

    run(monkeypatch, simulate)


STREAM_JOBS_PER_S = 4
STREAM_DURATION_S = 120


def test_stream_of_small_jobs_ends_as_requested_despite_a_crash(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Four jobs per second for two minutes, a quarter of them cancelled; a controller crashes."""

    async def submit_and_cancel(sim: Simulation, number: int, rng: random.Random) -> None:
        spec = job(number, rows=1, vcpus=1.0, realS=3.0, ripenS=3.0)
        await sim.submit(spec)
        if number % 4 == 0:
            await trio.sleep(rng.choice([0.0, 0.5, 2.0, 3.0, 4.0]))
            await sim.cancel(spec["ref"], number)

    async def simulate(sim: Simulation) -> None:
        sim.cloud.capacity = 12
        rng = random.Random(5)
        job_count = STREAM_JOBS_PER_S * STREAM_DURATION_S
        for number in range(1, job_count + 1):
            sim.nursery.start_soon(submit_and_cancel, sim, number, rng)
            await trio.sleep(1 / STREAM_JOBS_PER_S)
            if number == job_count // 2:
                sim.kill("n1")
            elif number == job_count // 2 + STREAM_JOBS_PER_S * 6:
                sim.start("n1")
        await trio.sleep(5)
        ids = [f"wk-{number:06d}" for number in range(1, job_count + 1)]
        await sim.wait_until_finished(ids, limit=60)
        withdrawn = [id for id in ids if sim.final_stages[id] == "withdrawn"]
        assert set(withdrawn) <= sim.invariants.cancel_requested
        assert len(withdrawn) >= job_count // 16
        await trio.sleep(TIMES.cancel_s + 1)
        sim.check()

    run(monkeypatch, simulate)
