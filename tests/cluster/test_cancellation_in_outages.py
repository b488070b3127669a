"""Cancelled tasks stop in time although the cluster leader can't read the cancellations.

The state store refuses the leader's calls while a peer accepts cancellations; then the store is
down for all controllers. Agents still send heartbeats to the old leader, which must stop renewing
their leases in time. The agent times are those of the two real deployments.
"""

from __future__ import annotations

from typing import NamedTuple

import pytest
import trio
import trio.testing

from ..harness.simulation import DEPLOYMENT_TIMES, Simulation, job, run


class Outage(NamedTuple):
    """One variant of the outage: which controllers reach each other, and which of them crash."""

    canceller: int  # the controller that accepts the cancellations
    # Connections between the canceller and the old leader are "open" or "refused", or requests on
    # them are "held" back until late in the outage.
    link: str = "open"
    # The canceller restarts "before" or "in" the outage, or crashes in it and stays down ("gone");
    # when empty, it doesn't crash.
    crash: str = ""
    third_reachable: bool = True  # whether the canceller and the third controller reach each other
    # A "running" job is cancelled; with "new", so is one that is accepted while the state store
    # refuses the leader.
    cancelled_job: str = "running"
    response_lost: bool = False  # the first response is lost, and the other peer answers a retry

    @property
    def leader_reached_by_all_peers(self) -> bool:
        """Whether the old leader receives messages from all its peers throughout the outage."""
        return self.link == "open" and not self.crash


OUTAGES = [
    Outage(1),
    Outage(2),
    Outage(1, "refused"),
    Outage(2, "refused"),
    Outage(1, "held"),
    Outage(2, "held"),
    Outage(1, crash="before"),
    Outage(2, crash="before"),
    Outage(1, crash="in"),
    Outage(2, crash="in"),
    Outage(1, crash="gone"),
    Outage(1, "refused", "before"),
    Outage(1, "refused", "in"),
    Outage(1, "held", "in"),
    Outage(2, "held", "before"),
    Outage(2, "refused", "gone"),
    Outage(1, third_reachable=False),
    Outage(1, "refused", third_reachable=False),
    Outage(1, "refused", "before", False),
    Outage(1, "held", "in", False),
    Outage(1, cancelled_job="new"),
    Outage(2, "refused", cancelled_job="new"),
    Outage(1, "held", cancelled_job="new"),
    Outage(1, "refused", "before", cancelled_job="new"),
    Outage(1, response_lost=True),
    Outage(1, "refused", response_lost=True),
    Outage(1, "held", "before", response_lost=True),
]


JOB_IDS = ("wk-000001", "wk-000002", "wk-000003")
LONG_RUNNING = {"realS": 900.0, "ripenS": 900.0, "vcpus": 1.0}
RESTART_AFTER_S = 0.3
HELD_FOR_S = 20.0


class OutageScenario:
    """The steps of one test, the jobs that are cancelled, and the roles of the controllers."""

    def __init__(self, sim: Simulation, outage: Outage) -> None:
        self.sim = sim
        self.outage = outage
        self.canceller, self.other_peer = f"n{outage.canceller}", f"n{3 - outage.canceller}"
        self.cancelled = [JOB_IDS[0]]

    async def begin(self) -> None:
        """Start long jobs; then let the state store refuse the leader, and break connections."""
        sim, outage = self.sim, self.outage
        for number in (1, 2, 3):
            await sim.submit(job(number, rows=6, **LONG_RUNNING))
        with trio.fail_after(sim.times.lease_s * 2):
            while len(sim.cloud.rules.placements) < 18:
                await trio.sleep(0.1)
        assert sim.controllers["n0"].membership.cluster_leader_token is not None
        sim.state_store.refused_callers.add("n0")
        if outage.cancelled_job == "new":
            await sim.submit(job(4, rows=12, **LONG_RUNNING))
            self.cancelled.append("wk-000004")
            await trio.sleep(1.0)
        if outage.link == "refused":
            sim.network.refused_connections |= {(self.canceller, "n0"), ("n0", self.canceller)}
        elif outage.link == "held":
            sim.network.hold_back(self.canceller, "n0")
        if not outage.third_reachable:
            sim.network.partition(self.canceller, self.other_peer)

    async def cancel_jobs(self) -> None:
        """Cancel jobs, and wait for the confirmations."""
        for id in self.cancelled:
            if self.outage.response_lost:
                await self._cancel_without_response(id)
                await self._cancel_at(3 - self.outage.canceller, id)
            else:
                await self._cancel_at(self.outage.canceller, id)

    async def _cancel_without_response(self, id: str) -> None:
        """Cancel a job so that neither the user nor a peer is notified of the commit."""
        sim = self.sim
        sim.network.partition(self.canceller, "n0")
        sim.network.partition(self.canceller, self.other_peer)
        sim.invariants.cancel_requested.add(id)
        await sim.call(self.outage.canceller, "POST", f"/api/jobs/{id}/cancel")
        sim.network.partitions.clear()
        await trio.sleep(0.5)

    async def _cancel_at(self, node: int, id: str) -> None:
        self.sim.invariants.cancel_requested.add(id)
        answer = await self.sim.send(node, "POST", f"/api/jobs/{id}/cancel", job_id=id)
        assert answer == (200, "withdrawn")

    async def stop_state_store(self) -> None:
        """Stop the state store for longer than `cancel_s`.

        The canceller may crash before the outage or during it.
        """
        sim, outage = self.sim, self.outage
        if outage.crash == "before":
            sim.kill(self.canceller)
            await trio.sleep(0.2)
            sim.start(self.canceller)
            await trio.sleep(0.5)
        await trio.sleep(0.3)
        sim.state_store.stop()
        assert sim.controllers["n0"].membership.cluster_leader_token is not None
        if outage.crash in ("in", "gone"):
            await trio.sleep(3.0)
            sim.kill(self.canceller)
            if outage.crash == "in":
                await trio.sleep(RESTART_AFTER_S)
                sim.start(self.canceller)
        await trio.sleep(HELD_FOR_S)
        sim.network.release_held_back()
        await trio.sleep(sim.times.cancel_s + 2.0 - HELD_FOR_S)

    def check_stopped(self) -> None:
        """Check that cancelled tasks have stopped.

        If the leader received messages from all its peers, all other tasks must still run.
        """
        remaining_jobs = self._jobs_with_tasks()
        assert not remaining_jobs & set(self.cancelled)
        self.sim.check()
        if self.outage.leader_reached_by_all_peers:
            # The leader has received all cancellations, so it keeps renewing all other tasks.
            assert self.sim.cloud.rules.tasks_lost_to_lease_expiry == 0
            assert remaining_jobs >= {"wk-000002", "wk-000003"}

    def _jobs_with_tasks(self) -> set[str]:
        return {task.rpartition("/")[0] for task in self.sim.cloud.rules.placements}

    async def recover(self) -> None:
        """End all faults; every job must be known, and no cancelled job may run again."""
        sim = self.sim
        sim.state_store.resume()
        sim.state_store.refused_callers.clear()
        sim.network.heal()
        if self.outage.crash == "gone":
            sim.start(self.canceller)
        await sim.wait_until_known(list(JOB_IDS), within=30)
        await trio.sleep(sim.times.lease_s * 2)
        assert not self._jobs_with_tasks() & set(self.cancelled)
        sim.check()


@pytest.mark.parametrize("deployment", DEPLOYMENT_TIMES)
@pytest.mark.parametrize("outage", OUTAGES, ids=lambda g: "-".join(str(v) for v in g))
def test_cancelled_tasks_are_stopped_in_time(
    outage: Outage, deployment: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def simulate(sim: Simulation) -> None:
        scenario = OutageScenario(sim, outage)
        await scenario.begin()
        await scenario.cancel_jobs()
        await scenario.stop_state_store()
        scenario.check_stopped()
        await scenario.recover()

    run(monkeypatch, simulate, times=DEPLOYMENT_TIMES[deployment])
