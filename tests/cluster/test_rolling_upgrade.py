"""Invariants hold while controllers of two versions serve, in an upgrade and its rollback."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from pitchtally.config.settings import NextStateLimits, StateLimits
from pitchtally.formats.gate import KEY

from ..harness.cluster_faults import cluster_leader, restart
from ..harness.earlier_version import EarlierVersion, original_controller
from ..harness.services import RECOVERY_TIMEOUT_S, service
from ..harness.simulation import NODES, TIMES, Simulation, job, run
from ..harness.workload import CANCELLED, IDS, JOBS, simulate_users

Fault = Callable[[Simulation], Awaitable[None]]

ANNOUNCED_LIMITS = NextStateLimits(write_rps=60, value_kb=0.75, txn_ops=4)
STATE_LIMITS = StateLimits(rps=300, write_rps=100, value_kb=1, txn_ops=16, next=ANNOUNCED_LIMITS)
# Version 0.5.1 stores the task bitmap of the smaller job in its record, which then exceeds the
# lower limit, and the bitmap of the larger job in chunks.
WIDE_JOBS = [
    job(21, rows=2400, vcpus=0.25, memGb=0.01, rank="idle", realS=3.0, ripenS=3.0),
    job(22, rows=3200, vcpus=0.25, memGb=0.01, rank="idle", realS=3.0, ripenS=3.0),
]
SERVICES = [
    service(31, rows=4),
    service(32, rows=3, spread=True),
    service(33, crew="tight", rows=2),
]
REPLACEMENT_PAUSE_S = 6.0


def lower_limits(sim: Simulation) -> None:
    sim.state_store.limits.value_bytes = int(1024 * (ANNOUNCED_LIMITS.value_kb or 0.0))
    sim.state_store.limits.changes = ANNOUNCED_LIMITS.txn_ops or 0


async def replace_controllers(
    sim: Simulation, fault: Fault | None = None, *, rollback: bool = False
) -> None:
    """Replace the controllers one by one with the present version, or roll them back.

    `fault` begins when the second controller is stopped.
    """
    async with trio.open_nursery() as nursery:
        for number, node in enumerate(NODES):
            sim.kill(node)
            if rollback:
                sim.earlier_nodes.add(node)
            else:
                sim.earlier_nodes.discard(node)
            if fault is not None and number == 1:
                nursery.start_soon(fault, sim)
            await trio.sleep(1.0)
            if node in sim.network.crashed:
                sim.start(node)
            await trio.sleep(REPLACEMENT_PAUSE_S)


# --- faults during the upgrade --------------------------------------------------------------------


async def no_fault(sim: Simulation) -> None:
    """Inject no fault; only the upgrade takes place."""


async def old_controller_crashes_before_its_upgrade(sim: Simulation) -> None:
    await trio.sleep(2.0)
    await restart(sim, "n2")
    assert "n2" in sim.earlier_nodes or "n2" in sim.network.crashed


async def leaders_crash(sim: Simulation) -> None:
    for _ in range(3):
        await trio.sleep(3.0)
        name = cluster_leader(sim)
        if name not in sim.network.crashed:
            await restart(sim, name)


async def state_store_outage(sim: Simulation) -> None:
    await trio.sleep(2.0)
    sim.state_store.stop()
    await trio.sleep(TIMES.lease_s)
    sim.state_store.resume()


async def slow_state_store(sim: Simulation) -> None:
    for node in NODES:
        sim.network.reply_delay[("state", node)] = 0.4
        sim.network.reply_delay[(node, "state")] = 0.4
    await trio.sleep(REPLACEMENT_PAUSE_S * 2)
    sim.network.reply_delay.clear()


async def delayed_transactions(sim: Simulation) -> None:
    sim.network.delayed_commits = 0.25
    await trio.sleep(REPLACEMENT_PAUSE_S * 2.5)
    sim.network.delayed_commits = 0.0


async def messages_of_former_processes(sim: Simulation) -> None:
    """Delay commands and duplicate heartbeats and peer messages, also across restarts."""
    sim.network.duplicated_heartbeats, sim.network.delayed_commands = 0.3, 0.3
    for sender in NODES:
        for receiver in NODES:
            if sender != receiver:
                sim.network.duplicate_after[(sender, receiver)] = 3.0
    await trio.sleep(REPLACEMENT_PAUSE_S * 2.5)
    sim.network.duplicate_after.clear()
    sim.network.duplicated_heartbeats = sim.network.delayed_commands = 0.0


async def cancellations_and_isolated_machines(sim: Simulation) -> None:
    for agent in list(sim.cloud.agents)[::2]:
        sim.network.partition(agent, "*")
        sim.network.partition("*", agent)
    for id in CANCELLED:
        sim.nursery.start_soon(sim.cancel, id)
    await trio.sleep(TIMES.lease_s * 0.8)
    sim.network.partitions.clear()


async def zone_partitioned_from_two_controllers(sim: Simulation) -> None:
    for agent in list(sim.cloud.agents.values()):
        if agent.zone == "a":
            for node in NODES[1:]:
                sim.network.partition(agent.name, node)
    await trio.sleep(TIMES.lease_s * 1.5)
    sim.network.partitions.clear()


async def controller_partitioned_from_peers(sim: Simulation) -> None:
    sim.network.partition("n0", "n1")
    sim.network.partition("n0", "n2")
    await trio.sleep(REPLACEMENT_PAUSE_S * 2.5)
    sim.network.partitions.clear()


FAULTS: list[Fault] = [
    no_fault,
    old_controller_crashes_before_its_upgrade,
    leaders_crash,
    state_store_outage,
    slow_state_store,
    delayed_transactions,
    messages_of_former_processes,
    cancellations_and_isolated_machines,
    zone_partitioned_from_two_controllers,
    controller_partitioned_from_peers,
]


async def play_upgrade(sim: Simulation, fault: Fault, lowered_after: float) -> None:
    """Start with the version in production, upgrade during a fault, then lower the limits."""
    specs = [*JOBS, *WIDE_JOBS]
    for spec in specs:
        sim.nursery.start_soon(sim.submit, spec)
    sim.nursery.start_soon(simulate_users, sim)
    await trio.sleep(5.0)
    assert KEY not in sim.state_store.items
    await replace_controllers(sim, fault)
    sim.state_store.down = False
    sim.network.heal()
    for name in sorted(sim.network.crashed):
        sim.start(name)
    upgraded_at = trio.current_time()
    await trio.sleep(lowered_after)
    lower_limits(sim)
    for spec in SERVICES:
        sim.nursery.start_soon(sim.submit, spec)
    for id in CANCELLED:
        if id not in sim.invariants.cancel_requested:
            sim.nursery.start_soon(sim.cancel, id)
    ids = [*IDS, *(spec["ref"] for spec in WIDE_JOBS)]
    services_due_at = trio.current_time() + RECOVERY_TIMEOUT_S
    while trio.current_time() - upgraded_at < 240:
        await trio.sleep(1.0)
        now = trio.current_time()
        sim.invariants.check_replicas_return(now, services_due_at, RECOVERY_TIMEOUT_S)
        sim.invariants.check_jobs_are_answered(now, upgraded_at)
        sim.invariants.check_startable_jobs_start(now, sim.cloud)
        sim.check()
        if now > services_due_at and all(id in sim.final_stages for id in ids):
            break
    assert not [id for id in ids if id not in sim.final_stages]
    assert KEY in sim.state_store.items
    await sim.wait_until_known([*ids, *(spec["ref"] for spec in SERVICES)], 20)
    await trio.sleep(TIMES.cancel_s + 1)
    sim.check()
    assert not [key for key in sim.state_store.items if key.startswith(("pt/done/", "pt/fin/"))]


@pytest.mark.parametrize("lowered_after", [0.0, 8.0, 40.0])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda t: t.__name__)
def test_invariants_hold_during_a_rolling_upgrade(
    fault: Fault,
    lowered_after: float,
    production: EarlierVersion,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def simulate(sim: Simulation) -> None:
        await play_upgrade(sim, fault, lowered_after)

    run(monkeypatch, simulate, earlier=production, state=STATE_LIMITS)


@pytest.mark.parametrize("seed", range(6))
def test_invariants_hold_under_random_faults_during_an_upgrade(
    seed: int, production: EarlierVersion, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two faults start a random time apart; limits are lowered a random time after the upgrade."""
    rng = random.Random(500 + seed)
    first, second = rng.sample(FAULTS, 2)
    delay, lowered_after = rng.uniform(0.0, REPLACEMENT_PAUSE_S), rng.uniform(0.0, 20.0)

    async def second_fault(sim: Simulation) -> None:
        await trio.sleep(delay)
        await second(sim)

    async def both_faults(sim: Simulation) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first, sim)
            nursery.start_soon(second_fault, sim)

    async def simulate(sim: Simulation) -> None:
        await play_upgrade(sim, both_faults, lowered_after)

    run(monkeypatch, simulate, 500 + seed, earlier=production, state=STATE_LIMITS)


def test_no_write_exceeds_the_lower_limits_once_the_gate_is_open(
    production: EarlierVersion, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A record that is too large in the old layout is converted before it is written."""

    async def simulate(sim: Simulation) -> None:
        for spec in [*WIDE_JOBS, *JOBS[:6]]:
            await sim.submit(spec)
        await replace_controllers(sim)
        with trio.fail_after(10):
            while KEY not in sim.state_store.items:
                await trio.sleep(0.1)
        await trio.sleep(5)
        lower_limits(sim)
        assert not any(spec["ref"] in sim.final_stages for spec in WIDE_JOBS)
        await sim.wait_until_finished([spec["ref"] for spec in [*WIDE_JOBS, *JOBS[:6]]], limit=180)
        assert sim.state_store.oversized == []

    run(monkeypatch, simulate, earlier=production, state=STATE_LIMITS)


def test_member_of_the_old_version_keeps_the_gate_closed(
    production: EarlierVersion, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The gate opens only once the present process of each member reports the new format.

    A member of the old version keeps it closed whether it is up or down.
    """

    async def simulate(sim: Simulation) -> None:
        for name in ("n0", "n1"):
            sim.kill(name)
            sim.earlier_nodes.discard(name)
            await trio.sleep(0.5)
            sim.start(name)
            await trio.sleep(REPLACEMENT_PAUSE_S)
        await trio.sleep(20)
        assert KEY not in sim.state_store.items
        sim.kill("n2")
        await trio.sleep(20)
        assert KEY not in sim.state_store.items
        sim.start("n2")  # restarted with the old version
        await trio.sleep(20)
        assert KEY not in sim.state_store.items
        sim.kill("n2")
        sim.earlier_nodes.clear()
        sim.start("n2")
        await trio.sleep(10)
        assert KEY in sim.state_store.items
        specs: list[dict[str, Any]] = JOBS[:4]
        for spec in specs:
            await sim.submit(spec)
        await sim.wait_until_finished([spec["ref"] for spec in specs])

    run(monkeypatch, simulate, earlier=production, state=STATE_LIMITS)


# --- upgrade from 0.6.0, and rollback to it -----------------------------------------------------

ROLLBACK_FAULTS: list[Fault] = [
    no_fault,
    leaders_crash,
    messages_of_former_processes,
    cancellations_and_isolated_machines,
]


async def submit_between_versions(sim: Simulation, specs: list[dict[str, Any]]) -> None:
    """Submit jobs to a cluster in which both versions serve."""
    assert 0 < len(sim.earlier_nodes) < len(NODES)
    for spec in specs:
        sim.nursery.start_soon(sim.submit, spec)


def versions_serving(sim: Simulation) -> set[str]:
    return {
        type(original_controller(controller)).__module__.split(".")[0]
        for controller in sim.controllers.values()
    }


async def play_upgrade_and_rollback(sim: Simulation, fault: Fault) -> None:
    """Start with 0.6.0, upgrade and roll back, with the fault during both."""
    initial_jobs, jobs_during_upgrade, jobs_after_upgrade, jobs_during_rollback = (
        JOBS[:4],
        [*JOBS[4:8], *WIDE_JOBS],
        JOBS[8:10],
        JOBS[10:],
    )
    first_versions = versions_serving(sim)
    for spec in initial_jobs:
        await sim.submit(spec)
    with trio.fail_after(10):
        while KEY not in sim.state_store.items:
            await trio.sleep(0.1)
    gate_record = sim.state_store.items[KEY][0]
    sim.nursery.start_soon(simulate_users, sim)
    lower_limits(sim)
    for rollback, jobs_during, jobs_after in (
        (False, jobs_during_upgrade, jobs_after_upgrade),
        (True, jobs_during_rollback, SERVICES),
    ):

        async def submit_jobs_and_inject_fault(
            sim: Simulation, specs: list[dict[str, Any]] = jobs_during
        ) -> None:
            await submit_between_versions(sim, specs)
            assert len(versions_serving(sim)) == 2
            await fault(sim)

        await replace_controllers(sim, submit_jobs_and_inject_fault, rollback=rollback)
        sim.network.heal()
        for name in sorted(sim.network.crashed):
            sim.start(name)
        await trio.sleep(1.0)
        assert (versions_serving(sim) == first_versions) is rollback
        for spec in jobs_after:
            sim.nursery.start_soon(sim.submit, spec)
        await trio.sleep(REPLACEMENT_PAUSE_S)
        sim.check()
    for id in CANCELLED:
        if id not in sim.invariants.cancel_requested:
            sim.nursery.start_soon(sim.cancel, id)
    ids = [*IDS, *(spec["ref"] for spec in WIDE_JOBS)]
    await sim.wait_until_finished(ids)
    assert not [id for id in ids if id not in sim.final_stages]
    assert [sim.final_stages[id] for id in CANCELLED] == ["withdrawn"] * len(CANCELLED)
    await sim.wait_until_known([*ids, *(spec["ref"] for spec in SERVICES)], 20)
    await trio.sleep(TIMES.cancel_s + 1)
    sim.check()
    # Only the value is compared: each new leader of 0.6.0 writes the same record once more.
    assert sim.state_store.items[KEY][0] == gate_record
    assert sim.state_store.oversized == []
    assert not [key for key in sim.state_store.items if key.startswith(("pt/done/", "pt/fin/"))]


@pytest.mark.parametrize("fault", ROLLBACK_FAULTS, ids=lambda t: t.__name__)
def test_invariants_hold_during_an_upgrade_and_its_rollback(
    fault: Fault, version_0_6_0: EarlierVersion, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def simulate(sim: Simulation) -> None:
        await play_upgrade_and_rollback(sim, fault)

    run(monkeypatch, simulate, earlier=version_0_6_0, state=STATE_LIMITS)
