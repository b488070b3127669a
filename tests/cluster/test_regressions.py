"""One small test for each failure that was found; the name says what went wrong."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
import trio
import trio.testing

from pitchtally.api.admission_queue import GRACE_S, MAX_RETRY_S, AdmissionQueue
from pitchtally.config.settings import StateLimits
from pitchtally.http import HttpError, Request, Response
from standins.network import HERE

from ..harness.cluster_faults import restart
from ..harness.simulation import Simulation, job, run, submission


def test_team_gang_is_not_starved_by_its_teams_arrays(monkeypatch: pytest.MonkeyPatch) -> None:
    """Arrays took every freed CPU of the limit while the gang had free machines."""

    async def day(sim: Simulation) -> None:
        await sim.submit(job(1, rows=150, crew="tight", vcpus=1.0))
        await trio.sleep(5)
        at = trio.current_time()
        await sim.submit(job(2, rows=1, cut="gang", crew="tight", vcpus=5.0))
        await trio.sleep(30)
        assert sim.world.rules.first_start["wk-000002"] - at < 20
        sim.check()

    run(monkeypatch, day)


def test_gang_is_not_starved_on_full_machines(monkeypatch: pytest.MonkeyPatch) -> None:
    """Arrays of equal rank took every freed piece of the machines large enough."""

    async def day(sim: Simulation) -> None:
        sim.world.capacity = 4
        await sim.submit(job(1, rows=400, vcpus=1.0))
        await trio.sleep(8)
        at = trio.current_time()
        await sim.submit(job(2, rows=1, cut="gang", vcpus=8.0))
        await trio.sleep(40)
        assert sim.world.rules.first_start["wk-000002"] - at < 30
        sim.check()

    run(monkeypatch, day)


def test_team_limit_is_used_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """A third of a limit per shard left room idle where another shard's share was spare."""

    async def day(sim: Simulation) -> None:
        await sim.submit(job(1, rows=60, crew="tight", vcpus=3.0))
        await trio.sleep(30)
        assert sim.world.rules.peak_cpus["tight"] == 6.0
        sim.check()

    run(monkeypatch, day)


@pytest.mark.parametrize("cluster_leader", ["n0", "n1"])
def test_takeover_returns_no_working_machine(
    cluster_leader: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A leader that had just taken a shard over took its machines for dead ones."""

    async def day(sim: Simulation) -> None:
        await sim.submit(job(1, rows=300, vcpus=1.0))
        for _ in range(2):
            await trio.sleep(8)
            sim.kill(cluster_leader)
            await trio.sleep(5)
            sim.start(cluster_leader)
        await trio.sleep(15)
        assert [n for n in sim.world.terminated if n <= "i-000004"] == []
        sim.check()

    run(monkeypatch, day)


def test_node_cut_off_from_the_state_alone_lets_a_peer_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Users at such a node got 503 for as long as the cut lasted."""

    async def day(sim: Simulation) -> None:
        sim.network.partition("n0", "state")
        await trio.sleep(6)
        sent = {k: v for k, v in job(1).items() if k != "realS"}
        sim.world.rules.specs["wk-000001"] = job(1)
        assert (await sim.call(0, "POST", "/api/jobs", sent)).status == 201
        assert (await sim.call(0, "GET", "/api/jobs/wk-000001")).status == 200
        assert (await sim.call(0, "GET", "/api/jobs/wk-000009")).status == 404
        assert (await sim.call(0, "GET", "/ready")).status == 503
        sim.network.heal()
        sim.state_store.stop()
        await trio.sleep(8)
        # With all in the same outage nobody can do better: stay in service, say when.
        assert (await sim.call(0, "GET", "/ready")).status == 200
        answer = await sim.call(0, "POST", "/api/jobs", {**sent, "ref": "wk-000002"})
        assert answer.status == 503
        assert dict(answer.headers)["Retry-After"] == "1"
        sim.check()

    run(monkeypatch, day)


def test_lost_machine_of_a_dead_leader_frees_its_shard(monkeypatch: pytest.MonkeyPatch) -> None:
    """A released machine came back from the record and kept its shard from settling."""

    async def day(sim: Simulation) -> None:
        await sim.submit(job(1, rows=40, vcpus=1.0, realS=3.0))
        await trio.sleep(5)
        for name in list(sim.world.agents)[:2]:
            sim.world.agents[name].terminate()
        sim.kill("n0")
        await trio.sleep(5)
        sim.start("n0")
        await sim.finish(["wk-000001"], limit=90)

    run(monkeypatch, day)


def test_repeat_of_a_known_id_is_answered_whatever_its_body(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def day(sim: Simulation) -> None:
        await sim.submit(job(1, rows=1))
        for node in range(3):
            answer = await sim.call(node, "POST", "/api/jobs", {"ref": "wk-000001", "rows": -1})
            assert answer.status == 200
            answer = await sim.call(node, "POST", "/api/jobs", {"ref": "wk-000002", "rows": -1})
            assert answer.status == 400
            assert "field" in json.loads(answer.body)
        await sim.finish(["wk-000001"])

    run(monkeypatch, day)


def test_announced_machine_is_vacated_before_it_goes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its tasks used to wait for the lease's end before they ran elsewhere."""

    async def day(sim: Simulation) -> None:
        await sim.submit(job(1, rows=24, vcpus=1.0, ripenS=30.0, realS=30.0, rackS=5.0))
        await trio.sleep(6)
        agent = next(w for w in sim.world.agents.values() if w.tasks)
        agent.preemption_at = trio.current_time() + 8
        await trio.sleep(7)
        assert agent.terminated or not [t for t, s in agent.tasks.items() if s.state == "running"]
        if not agent.terminated:
            agent.terminate()
        await sim.finish(["wk-000001"], limit=60)

    run(monkeypatch, day)


def test_gang_leaves_a_machine_where_it_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Moved to another shard and back, it went to the same sick machine again."""

    async def day(sim: Simulation) -> None:
        sick = next(iter(sim.world.agents.values()))
        sick.fails_tasks = True
        for number in range(1, 5):
            await sim.submit(job(number, rows=1, cut="gang", vcpus=8.0))
        await sim.finish([f"wk-{n:06d}" for n in range(1, 5)], limit=60)

    run(monkeypatch, day)


def test_submissions_that_wait_share_a_commit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each is accepted once; a repeat among them doesn't spoil the others."""

    async def day(sim: Simulation) -> None:
        commits = 0
        handle = sim.state_store.handle

        async def slow(request: Request) -> Response:
            nonlocal commits
            if request.path == "/commit" and b"pt/jobs/" in request.body:
                commits += 1
                await trio.sleep(0.1)
            return await handle(request)

        sim.network.hosts[("10.2.0.1", 2379)] = ("state", slow)
        statuses: list[int] = []

        async def one(number: int) -> None:
            spec = job(number, rows=1)
            sim.world.rules.specs[spec["ref"]] = spec
            sent = {k: v for k, v in spec.items() if k != "realS"}
            statuses.append((await sim.call(0, "POST", "/api/jobs", sent)).status)

        async with trio.open_nursery() as nursery:
            for number in (*range(1, 21), 7):
                nursery.start_soon(one, number)
        assert sorted(statuses) == [200] + [201] * 20
        assert commits < 15
        sim.network.hosts[("10.2.0.1", 2379)] = ("state", handle)
        await sim.finish([f"wk-{n:06d}" for n in range(1, 21)])

    run(monkeypatch, day)


def test_gang_that_is_late_already_makes_no_other_late(monkeypatch: pytest.MonkeyPatch) -> None:
    """In order of acceptance, one backlog of gangs made every later one begin too late."""
    begins_within = 60.0

    async def day(sim: Simulation) -> None:
        sim.policy_text = f"start_within = {begins_within}"
        await restart(sim, after=0.5)
        sim.world.capacity = 4
        accepted: dict[str, float] = {}

        async def gang(number: int) -> None:
            # All four machines, for longer than the next one takes to come.
            spec = job(number, rows=4, cut="gang", vcpus=8.0, realS=11.0, ripenS=11.0)
            await sim.submit(spec)
            accepted[spec["ref"]] = trio.current_time()

        for number in range(1, 9):
            await gang(number)
        for number in range(9, 21):
            await trio.sleep(16)
            await gang(number)
        await sim.finish(list(accepted), limit=300)
        waits = {id: sim.world.rules.first_start[id] - at for id, at in accepted.items()}
        in_time = [id for id, wait in waits.items() if wait < begins_within]
        assert len(in_time) > len(accepted) * 0.6
        assert max(waits.values()) < begins_within * 4  # late ones come first again in the end

    run(monkeypatch, day)


def first_ranges(sim: Simulation, id: str) -> list[Any]:
    """To whom a job's record gave its tasks as it was written first."""
    values = [value for _, key, value in sim.state_store.log if key == f"pt/jobs/{id}"]
    ranges: list[Any] = values[0].get("ranges", [])
    return ranges


@pytest.mark.parametrize("cluster_leader", ["heard", "silent"])
def test_leader_places_a_job_before_it_is_written(
    cluster_leader: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The leader wrote each small job's record again, and ran out of changes in a swarm."""

    async def day(sim: Simulation) -> None:
        sim.world.capacity = 4
        await sim.submit(job(1, rows=400, vcpus=1.0, realS=3.0, ripenS=3.0))
        await trio.sleep(8)
        if cluster_leader == "silent":
            sim.network.partition("n1", "n0")
        sim.world.rules.specs.update({f"wk-{n:06d}": job(n, rows=1) for n in range(10, 30)})
        for number in range(10, 30):
            at = trio.current_time()
            id = f"wk-{number:06d}"
            spec = sim.world.rules.specs[id]
            assert (await sim.ask(1, "POST", "/api/jobs", submission(spec), about=id))[0] == 201
            assert trio.current_time() - at < 1.0
        placed = [bool(first_ranges(sim, f"wk-{n:06d}")) for n in range(10, 30)]
        assert all(placed) == (cluster_leader == "heard")
        sim.network.heal()
        await sim.finish([f"wk-{n:06d}" for n in range(10, 30)])

    run(monkeypatch, day)


GIVES_UP_AFTER = 60.0  # the protocol's total for a user's retries


async def submit_as_a_user(sim: Simulation, spec: dict[str, Any], luck: random.Random) -> bool:
    """Retry as the protocol says, at any node, for as long as users do."""
    sim.world.rules.specs[spec["ref"]] = spec
    begin = trio.current_time()
    while trio.current_time() - begin < GIVES_UP_AFTER:
        after = 1.0
        try:
            answer = await sim.call(luck.randrange(3), "POST", "/api/jobs", submission(spec))
            if answer.status in (200, 201):
                return True
            after = max(after, float(dict(answer.headers).get("Retry-After", "1")))
        except HttpError:
            pass
        await trio.sleep(after + luck.random() * 0.3)
    return False


def test_nobody_gives_up_after_an_outage_in_a_swarm(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whoever asked at the right moment was taken; 25 of 400 gave up meanwhile."""

    async def day(sim: Simulation) -> None:
        sim.state_limits = StateLimits(rps=80, write_rps=15, value_kb=8, txn_ops=8)
        await restart(sim, after=0.5)
        sim.world.capacity = 12
        luck = random.Random(3)
        accepted: dict[str, bool] = {}

        async def one(number: int) -> None:
            spec = job(number, rows=1, vcpus=0.25, realS=20.0, ripenS=20.0)
            accepted[spec["ref"]] = await submit_as_a_user(sim, spec, luck)

        async with trio.open_nursery() as nursery:
            for number in range(1, 5 * 100 + 1):
                nursery.start_soon(one, number)
                await trio.sleep(0.2)
                if number == 5 * 20:
                    sim.state_store.stop()
                elif number == 5 * 65:
                    sim.state_store.resume()
        assert [id for id, taken in accepted.items() if not taken] == []
        sim.check()

    run(monkeypatch, day)


def test_waiting_line_keeps_the_order_of_first_attempts() -> None:
    """A repeat keeps its place; who doesn't come back in time loses it."""

    async def main() -> None:
        line = AdmissionQueue()
        assert line.ahead_of("a") == 0
        assert line.refuse("a", 0.2) == 1
        await trio.sleep(0.5)
        assert line.refuse("b", 2.1) == 3
        assert line.refuse("c", 90.0) == MAX_RETRY_S
        await trio.sleep(1.0)
        assert line.refuse("a", 1.5) == 2
        assert [line.ahead_of(id) for id in "abcd"] == [0, 1, 2, 3]
        line.leave("b")
        assert [line.ahead_of(id) for id in "acd"] == [0, 1, 2]
        await trio.sleep(2.0)
        line.refuse("c", 90.0)
        await trio.sleep(GRACE_S + 0.1)
        assert [line.ahead_of(id) for id in "cd"] == [0, 1]  # a hasn't come back
        line.refuse("a", 1.0)  # but it keeps its place, for it was at another node
        assert [line.ahead_of(id) for id in "acd"] == [0, 1, 2]
        await trio.sleep(MAX_RETRY_S + GRACE_S)
        assert line.ahead_of("d") == 0
        assert not line.occupied

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_waiting_line_forgets_who_was_taken_elsewhere() -> None:
    async def main() -> None:
        taken: set[str] = set()
        line = AdmissionQueue(taken.__contains__)
        line.refuse("a", 3.0)
        line.refuse("b", 3.0)
        taken.add("a")
        await trio.sleep(GRACE_S / 2)
        assert [line.ahead_of(id) for id in "bc"] == [0, 1]

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_requests_passed_on_leave_peers_room_for_heartbeats(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A flood of polls at a node without the store took all connections between controllers."""

    async def day(sim: Simulation) -> None:
        await sim.submit(job(1, rows=4, realS=900.0, ripenS=900.0))
        await sim.submit(job(2, rows=1, realS=1.0, ripenS=1.0))
        await sim.finish(["wk-000002"], limit=30)
        under_way = most = 0
        call = sim.network.call

        async def counted(address: Any, method: str, target: str, *rest: Any, **more: Any) -> Any:
            nonlocal under_way, most
            passed_on = target == "/peer" and HERE.get() == "n0"
            under_way += passed_on
            most = max(most, under_way)
            try:
                return await call(address, method, target, *rest, **more)
            finally:
                under_way -= passed_on

        monkeypatch.setattr(sim.network, "call", counted)
        sim.state_store.refused_callers.add("n0")
        for name in ("n1", "n2"):
            sim.network.reply_delay[("n0", name)] = 0.3
        await trio.sleep(3)
        answers: list[Response] = []

        async def poll(id: str) -> None:
            answers.append(await sim.call(0, "GET", f"/api/jobs/{id}"))

        async with trio.open_nursery() as nursery:
            for _ in range(300):
                nursery.start_soon(poll, "wk-000001")
            at = trio.current_time()
            await poll("wk-000002")
            assert trio.current_time() - at < 0.2  # what is over, its own copy tells
        assert {answer.status for answer in answers} == {200, 503}
        assert all(dict(a.headers)["Retry-After"] == "1" for a in answers if a.status == 503)
        assert most <= 800 / 80 + 4  # and two heartbeats to each peer, at the most
        sim.check()

    run(monkeypatch, day)
