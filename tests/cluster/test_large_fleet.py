"""What a far larger fleet asks for: work that doesn't grow, sockets by need, stands."""

from __future__ import annotations

import json
import random
import sys
import time
from typing import Any

import msgspec
import pytest
import trio
import trio.testing

from pitchtally.agents.machine import MachineGroupKey, Placement
from pitchtally.config import policy
from pitchtally.config.settings import Team
from pitchtally.controller import Controller
from pitchtally.http import Client, Request, Response, Server
from pitchtally.jobs.index import Job
from pitchtally.jobs.job_record import OPEN, JobRecord, TaskRange, encode
from pitchtally.jobs.resources import dominant_share
from pitchtally.membership.messages import PeerHeartbeat, ShardToken
from pitchtally.membership.shards import ShardLeader, ShardLease, shard_of
from pitchtally.protocol import cloud_api, user_api
from pitchtally.state_store.rate_limits import Priority
from standins.network import HERE

from ..harness.simulation import TIMES, Simulation, job, run, settings

TYPE = cloud_api.MachineType("big", cpus=64.0, memory=256.0, zones=["a", "b"])


def _leader_of(shard: int, token: int) -> Controller:
    """A controller that owns a shard, with no loops running."""
    config = settings("n0")
    found = Controller(config, policy.parse("", config))
    found.autoscaler.catalog.known = {"big": TYPE}
    found.replica.revision = token
    found.replica.verified_at = trio.current_time()
    leader = ShardLeader("n0", found.membership.incarnation)
    found.membership.leadership.leaders[shard] = ShardLease(leader, token)
    found.membership.leadership.announce(shard)
    found.agents.failover.load(found.agents.shards[shard])
    return found


def _heartbeat(
    number: int, seq: int, token: int, tasks: list[dict[str, Any]], type: str = "big"
) -> Request:
    body = {
        "vat": f"i-{number:06d}",
        "address": "10.1.0.1:9000",
        "press": type,
        "parcel": "a",
        "gleaning": False,
        "shift": 1,
        "tally": seq,
        "seal": token,
        "recallS": None,
        "rows": tasks,
    }
    return Request("POST", "/v1/report", {}, json.dumps(body).encode())


def _calls(body: Any) -> int:
    """Python functions entered while a coroutine that never waits runs to its end."""
    count = 0

    def entered(frame: Any, event: str, arg: Any) -> None:
        nonlocal count
        count += event == "call"

    sys.setprofile(entered)
    try:
        with pytest.raises(StopIteration):
            body.send(None)
    finally:
        sys.setprofile(None)
    return count


def test_work_for_a_report_does_not_grow_with_machines() -> None:
    async def work(machines: int) -> int:
        leader = _leader_of(0, 50)
        for number in range(0, machines * 3, 3):
            await leader.agents.serve(_heartbeat(number, 1, 50, []))
        assert len(leader.agents.machines) == machines
        return _calls(leader.agents.serve(_heartbeat(0, 2, 50, [])))

    async def main() -> None:
        few, many = await work(100), await work(900)
        assert 0 < few == many

    trio.run(main, clock=trio.testing.MockClock())


DEAR = cloud_api.MachineType("dear", cpus=64.0, memory=256.0, price=9.0, zones=["a"])


@pytest.mark.parametrize("cpus", [60.0, 1.0], ids=["no cheaper room", "much cheaper room"])
def test_work_for_a_report_beside_waiting_jobs_does_not_grow_with_machines(cpus: float) -> None:
    """Each report walked the shard's machines: at 4,086 a controller stood still for seconds."""

    async def work(machines: int) -> int:
        leader = _leader_of(0, 50)
        leader.autoscaler.catalog.known["dear"] = DEAR
        for number in range(0, machines * 3, 3):
            await leader.agents.serve(_heartbeat(number, 1, 50, []))
        dear = machines * 3
        await leader.agents.serve(_heartbeat(dear, 1, 50, [], type="dear"))
        busy = Job("wk-000009", JobRecord(OPEN, 1000, _spec(9, 10.0)), 1, 10_000)
        for number, machine in enumerate(leader.agents.machines.values()):
            machine.recorded = True
            if machine.type == "big":
                leader.agents.placements.put(Placement(busy, number, 1, machine))
        for number in range(1, 6):
            spec = msgspec.structs.replace(_spec(number, cpus), estimate=600.0)
            ranges = [TaskRange(0, spec.tasks, 0)]
            record = JobRecord(OPEN, spec.tasks, spec, time.time(), ranges)
            leader.replica.learn(f"pt/jobs/{spec.id}", encode(record), 60 + number)
        leader.scheduler.shards.shard_loaded(0)
        leader.scheduler.shards.shard_reconciled(0)
        leader.scheduler.survey.survey(0)
        leader.scheduler.allotment.allot(0)
        calls = _calls(leader.agents.serve(_heartbeat(dear, 2, 50, [], type="dear")))
        assert bool(leader.agents.machines[f"i-{dear:06d}"].placements) == (cpus == 60.0)
        return calls

    async def main() -> None:
        few, many = await work(100), await work(900)
        assert 0 < many <= few * 1.1

    trio.run(main, clock=trio.testing.MockClock())


def test_sums_of_a_shard_are_those_of_its_tasks() -> None:
    """Kept up with each change, they must say what a walk over all tasks would."""

    async def main() -> None:
        leader, luck = _leader_of(0, 50), random.Random(4)
        jobs = [
            Job(f"wk-{n:06d}", JobRecord(OPEN, 50, _spec(n, cpus)), 1, 10_000)
            for n, cpus in enumerate((1.0, 2.0, 4.0), 1)
        ]
        for number in range(0, 15, 3):
            await leader.agents.serve(_heartbeat(number, 1, 50, []))
        machines = list(leader.agents.machines.values())
        placed: list[Placement] = []
        for turn in range(400):
            await trio.sleep(luck.random())
            if placed and luck.random() < 0.4:
                assert leader.agents.placements.drop(placed.pop(luck.randrange(len(placed))))
                continue
            one = Placement(luck.choice(jobs), turn, turn, luck.choice(machines))
            leader.agents.placements.put(one)
            placed.append(one)
            if luck.random() < 0.7:
                leader.agents.placements.mark_running(one)
        now, seconds = trio.current_time(), 1000.0
        for each in jobs:
            mine = [p for p in placed if p.job is each]
            walk = sum(
                seconds - (now - p.running_since if p.running_since is not None else 0)
                for p in mine
            )
            load = leader.agents.placements.loads[0][MachineGroupKey("big", "a", False)][each.id]
            assert load.remaining_seconds(seconds, now) == pytest.approx(walk)
            assert load.count == len(mine)
            assert dominant_share(load.resources, TYPE) == each.spec.cpus / 64
            assert leader.agents.placements.running(0)[each.id] == sum(
                p.running_since is not None for p in mine
            )
        for one in placed:
            leader.agents.placements.drop(one)
        assert not any(leader.agents.placements.loads[0].values())

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def _spec(number: int, cpus: float) -> user_api.JobSpec:
    from pitchtally.api.validation import parse_job

    return parse_job(json.dumps(job(number, rows=50, vcpus=cpus)).encode())


# --- sockets ------------------------------------------------------------------


async def _echo(request: Request) -> Response:
    return Response(200, request.body)


async def _listening(nursery: trio.Nursery, server: Server) -> int:
    probe = trio.socket.socket()
    await probe.bind(("127.0.0.1", 0))
    port: int = probe.getsockname()[1]
    probe.close()
    nursery.start_soon(server.serve, "127.0.0.1", port)
    await trio.sleep(0.05)
    return port


async def _ask(stream: trio.SocketStream, raw: bytes) -> bytes:
    await stream.send_all(raw)
    with trio.fail_after(2):
        return bytes(await stream.receive_some(4096))


GET = b"GET /api HTTP/1.1\r\nHost: x\r\n\r\n"
VITAL = b"POST /v1/report HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok"


def test_idle_users_make_room_and_agents_stay() -> None:
    """With all places taken, a new caller gets in, and no agent loses its connection."""

    async def main() -> None:
        server = Server(
            _echo,
            max_connections=6,
            idle_timeout=30,
            request_timeout=2,
            priority_paths=frozenset({"/v1/report"}),
        )
        async with trio.open_nursery() as nursery:
            port = await _listening(nursery, server)
            agents = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(3)]
            for agent in agents:
                assert await _ask(agent, VITAL)
            users = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(3)]
            for user in users:
                assert await _ask(user, GET)
            for _ in range(5):
                late = await trio.open_tcp_stream("127.0.0.1", port)
                assert (await _ask(late, GET)).startswith(b"HTTP/1.1 200")
            with trio.fail_after(2):
                assert await users[0].receive_some(10) == b""  # idle longest
            for agent in agents:
                assert (await _ask(agent, VITAL)).startswith(b"HTTP/1.1 200")
            assert len(server.connections) <= 6
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_silent_connections_are_no_siege() -> None:
    """Clients that open sockets and send nothing are the first to go."""

    async def main() -> None:
        server = Server(_echo, max_connections=20, idle_timeout=30, request_timeout=2)
        async with trio.open_nursery() as nursery:
            port = await _listening(nursery, server)
            silent = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(60)]
            client = Client()
            for _ in range(3):
                answer = await client.call(("127.0.0.1", port), "POST", "/x", b"1", timeout=1)
                assert answer.status == 200
                client.drop(("127.0.0.1", port))
            assert len(server.connections) <= 20
            for stream in silent:
                await trio.aclose_forcefully(stream)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_hundreds_come_at_once() -> None:
    """Another controller has ended, and all its agents are here in one moment."""

    async def main() -> None:
        server = Server(
            _echo,
            max_connections=500,
            idle_timeout=30,
            request_timeout=2,
            priority_paths=frozenset({"/v1/report"}),
        )
        answered = 0

        async def agent(port: int) -> None:
            nonlocal answered
            sock = trio.socket.socket()
            with sock:
                await sock.connect(("127.0.0.1", port))
                await sock.send(VITAL)
                assert (await sock.recv(4096)).startswith(b"HTTP/1.1 200")
                answered += 1
                while answered < 300:  # all are open at the same time
                    await trio.sleep(0.01)

        async with trio.open_nursery() as nursery:
            port = await _listening(nursery, server)
            with trio.fail_after(60):
                async with trio.open_nursery() as agents:
                    for _ in range(300):
                        agents.start_soon(agent, port)
            assert answered == 300
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_idle_connections_to_many_hosts_are_bounded() -> None:
    """One was kept for each machine ever told to stop a task, until it was told again."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            client, ports = Client(max_idle_per_address=1, max_idle=4, idle_timeout=30), []
            for _ in range(12):
                server = Server(_echo, max_connections=5, idle_timeout=30, request_timeout=2)
                ports.append(await _listening(nursery, server))
                await client.call(("127.0.0.1", ports[-1]), "GET", "/", timeout=1)
            assert sum(len(pending) for pending in client.pool.idle.values()) <= 4
            assert len(client.pool.idle) <= 4
            assert ("127.0.0.1", ports[-1]) in client.pool.idle
            nursery.cancel_scope.cancel()

    trio.run(main)


LATER_REQUESTS = [
    # what follows a plain request on the same connection, and how it is answered
    ([VITAL, VITAL], [b"200", b"200"]),
    ([VITAL[:-1], b"k"], [b"200"]),  # the body in pieces, after a head seen before
    ([VITAL + VITAL], [b"200", b"200"]),  # pipelined
    ([VITAL + GET[:5], GET[5:]], [b"200", b"200"]),
    ([VITAL.replace(b"Host", b"Connection: close\r\nHost")], [b"200", b"closed"]),
    ([VITAL[:-1]], [b"408", b"closed"]),
    ([b"rubbish\r\n\r\n"], [b"400", b"closed"]),
    ([VITAL.replace(b"1.1", b"1.0")], [b"200", b"closed"]),
]


@pytest.mark.parametrize(("sent", "answers"), LATER_REQUESTS)
def test_known_heads_are_read_as_h11_reads_them(sent: list[bytes], answers: list[bytes]) -> None:
    async def main() -> None:
        server = Server(_echo, max_connections=6, idle_timeout=5, request_timeout=0.3)
        async with trio.open_nursery() as nursery:
            port = await _listening(nursery, server)
            for _ in range(2):  # heads are learned on the first connection
                stream = await trio.open_tcp_stream("127.0.0.1", port)
                assert b"200" in await _ask(stream, VITAL)
                found = b""
                for piece in sent:
                    await stream.send_all(piece)
                    await trio.sleep(0.05)
                with trio.move_on_after(0.6):
                    while more := await stream.receive_some(4096):
                        found += more
                    found += b"HTTP/1.1 closed "
                statuses = [line.split(b" ")[0] for line in found.split(b"HTTP/1.1 ")[1:]]
                assert statuses == answers
                await trio.aclose_forcefully(stream)
            nursery.cancel_scope.cancel()

    trio.run(main)


# --- stands, and controllers that are cut off ----------------------------------


def test_after_a_stand_nothing_heard_before_is_fresh() -> None:
    """Whoever asks first finds the stand, before the loop that keeps the time goes on."""

    async def main() -> None:
        leader = _leader_of(0, 50)
        membership, agents = leader.membership, leader.agents
        async with trio.open_nursery() as nursery:
            nursery.start_soon(membership.pause_detector.run)
            await agents.serve(_heartbeat(0, 1, 50, []))
            await trio.sleep(1)
            membership.replica.verified_at = trio.current_time()
            assert membership.verified_cluster_leader() == 50
            mock.jump(TIMES.lease_s * 3)
            at = trio.current_time()
            assert membership.resumed_at() == at
            assert membership.verified_cluster_leader() is None  # another may lead by now
            # What wasn't listened to wasn't silent.
            assert not agents.machines["i-000000"].lost
            nursery.start_soon(agents.lease_expiry.run)
            await trio.sleep(TIMES.report_s)
            assert not agents.machines["i-000000"].lost
            membership.replica.verified_at = trio.current_time()
            assert membership.verified_cluster_leader() == 50
            # Now that the store vouches for us, the lease is known to be over.
            await trio.sleep(TIMES.report_s)
            assert agents.machines["i-000000"].lost
            nursery.cancel_scope.cancel()

    mock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=mock)


def test_cut_off_leader_gives_up_no_task_that_another_may_renew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its successor may be renewing a machine that has gone silent here."""

    async def day(sim: Simulation) -> None:
        await sim.submit(job(1, rows=8, vcpus=2.0, realS=200.0, ripenS=200.0))
        await trio.sleep(4)
        old = sim.controllers["n1"].agents
        mine = [m for m in old.machines.values() if m.placements]
        assert mine
        for other in ("state", "n0", "n2", *(m.name for m in mine)):
            sim.network.partition("n1", other)
        placed = {m.name: len(m.placements) for m in mine}
        await trio.sleep(TIMES.lease_s * 2)
        new = next(
            sim.controllers[n].agents
            for n in ("n0", "n2")
            if shard_of(mine[0].name, 3) in sim.controllers[n].agents.shards
        )
        assert any(new.machines[name].placements for name in placed)
        for name, count in placed.items():
            if name in old.machines:
                assert len(old.machines[name].placements) == count
        sim.check()

    run(monkeypatch, day)


@pytest.mark.parametrize("gap", [0.0, 0.5, 2.0])
def test_cancelled_between_two_leaders(gap: float, monkeypatch: pytest.MonkeyPatch) -> None:
    """The leader was gone already, and its successor finds tasks of a job that is over."""

    async def day(sim: Simulation) -> None:
        # Others' work beside it: no machine goes back for being idle.
        for number, team in ((1, "free"), (2, "free"), (3, "tight")):
            await sim.submit(job(number, rows=6, vcpus=1.0, crew=team, realS=400.0, ripenS=400.0))
        with trio.fail_after(10):
            while len(sim.world.rules.placements) < 18:
                await trio.sleep(0.1)
        sim.kill("n1", "n2")
        await trio.sleep(gap)
        await sim.cancel("wk-000001")
        await sim.cancel("wk-000003")
        await sim.submit(job(4, rows=6, vcpus=1.0, crew="tight"))
        await trio.sleep(TIMES.cancel_s + 2)
        left = {task.rpartition("/")[0] for task in sim.world.rules.placements}
        assert left <= {"wk-000002"}
        sim.check()  # the team's limit too: six tasks at once

    run(monkeypatch, day)


UNHEARD = [
    # machines of 64 CPUs not heard since the failover, tasks of 2 CPUs that may start
    (0, 100),
    (1, 68),
    (3, 4),
    (4, 0),
]


@pytest.mark.parametrize(("unheard", "room"), UNHEARD)
def test_limited_team_goes_on_beside_machines_not_heard(unheard: int, room: int) -> None:
    """They may hold its tasks, but no more than they are large: the rest of its share is free."""

    async def main() -> None:
        leader = _leader_of(0, 50)
        hold = leader.agents.shards[0]
        leader.scheduler.quotas.teams = {"free": Team("free", cpus_max=600.0)}  # 200 for each shard
        leader.scheduler.shards.states[0].reconciled = not unheard
        for number in range(unheard):
            name = f"i-{number * 3:06d}"
            leader.agents.index.add(name, "big", "a", False, "10.1.0.1:9000")
            hold.suspects.add(name)
        assert leader.scheduler.quotas.tasks_within_limit(0, _spec(1, 2.0)) == room
        leader.autoscaler.types.clear()
        for machine in leader.agents.machines.values():
            machine.machine_type = None
        assert leader.scheduler.quotas.tasks_within_limit(0, _spec(1, 2.0)) == (
            0 if unheard else room
        )

    trio.run(main, clock=trio.testing.MockClock())


def test_record_of_a_shard_takes_few_writes() -> None:
    """310 machines stand in it before their first task: in chunks, ahead of progress."""

    async def main() -> None:
        leader, written = _leader_of(0, 50), []

        async def commit(conditions: Any, changes: Any, *, priority: int) -> bool:
            assert priority < Priority.SUBMISSIONS
            assert all(len(c.value) <= 8192 for c in changes)
            written.extend(changes)
            return True

        leader.commits.commit = commit  # type: ignore[method-assign]
        for number in range(0, 930, 3):
            await leader.agents.serve(_heartbeat(number, 1, 50, []))
        await leader.agents.records.write(leader.agents.shards[0])
        assert len(written) <= 8
        assert all(m.recorded for m in leader.agents.machines.values())

    trio.run(main, clock=trio.testing.MockClock())


def test_shard_lost_while_a_gang_is_given_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """inc-4c83: the write took its time, the shard went, and the whole round was lost."""

    async def day(sim: Simulation) -> None:
        sim.world.capacity = 4
        await sim.submit(job(1, rows=16, vcpus=2.0, realS=60.0, ripenS=60.0))
        await trio.sleep(2)
        await sim.submit(job(2, rows=1, cut="gang", vcpus=8.0, oneZone=True))
        faults: list[str] = []
        for controller in sim.controllers.values():
            scheduler, hold = controller.scheduler, controller.scheduler.shards.update_allocation

            async def lost(
                *args: Any,
                scheduler: Any = scheduler,
                agents: Any = controller.agents,
                write: Any = scheduler.range_writer.write_ranges,
                **more: Any,
            ) -> bool:
                done: bool = await write(*args, **more)
                for shard in list(scheduler.shards.states):
                    agents.shard_lost(shard)
                return done

            def watched(each: Any, shard: int, hold: Any = hold) -> None:
                try:
                    hold(each, shard)
                except KeyError:
                    faults.append(each.id)

            monkeypatch.setattr(scheduler.range_writer, "write_ranges", lost)
            monkeypatch.setattr(scheduler.shards, "update_allocation", watched)
        await trio.sleep(30)
        assert not faults

    run(monkeypatch, day)


def test_cut_off_leader_leaves_the_cloud_to_its_successor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It went on hiring and releasing beside it: the cloud knows no tokens."""

    async def day(sim: Simulation) -> None:
        asked: list[tuple[float, str]] = []
        handle = sim.world.handle

        async def watched(request: Request) -> Response:
            if request.method == "POST":
                asked.append((trio.current_time(), HERE.get()))
            return await handle(request)

        sim.network.hosts[("10.2.0.2", 8443)] = ("cloud", watched)
        await sim.submit(job(1, rows=60, vcpus=4.0, realS=20.0, ripenS=20.0))
        await trio.sleep(1)
        for other in ("state", "n1", "n2", *sim.world.agents):
            sim.network.partition("n0", other)
        at = trio.current_time()
        await trio.sleep(60)
        late = [who for when, who in asked if when > at + TIMES.lease_s / 4 + 1]
        assert "n0" not in late
        assert late  # its successor acts
        sim.check()

    run(monkeypatch, day)


def test_a_peers_newer_claim_fences() -> None:
    """An leader whose copy of the store lags learns from its successor's own word."""

    async def main() -> None:
        leader = _leader_of(1, 50)
        assert leader.membership.token(1) == 50

        def told(number: int, tokens: list[ShardToken]) -> None:
            heartbeat = PeerHeartbeat("n1", "x", number, 0, 0.0, 0.0, [], [], [], [], tokens)
            leader.membership.receiver.receive(heartbeat, None)

        told(1, [ShardToken(1, 49), ShardToken(2, 80)])
        assert leader.membership.token(1) == 50
        told(2, [ShardToken(1, 60)])
        assert leader.membership.token(1) is None
        assert 1 not in leader.agents.shards

    trio.run(main, clock=trio.testing.MockClock())
