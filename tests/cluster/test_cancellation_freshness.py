"""The gap: the store refuses the leader, a peer confirms cancellations, then all are refused.

Meanwhile the agents go on reporting to the old leader, which can't read of the
cancellations any more. At the real figures of both deployments.
"""

from __future__ import annotations

from typing import NamedTuple

import pytest
import trio
import trio.testing

from pitchtally.config import policy
from pitchtally.config.settings import AgentTimes
from pitchtally.config.timing import lease_expired_at, max_freshness_bound
from pitchtally.membership.freshness import (
    NEVER_READ,
    PeerReply,
    cancellations_verified,
    leadership_verified,
)
from pitchtally.membership.messages import Cancellation, PeerHeartbeat
from pitchtally.membership.peers.peer import Peer

from ..harness.simulation import Simulation, job, run, settings

SITES = {
    "brda": AgentTimes(
        report_s=2.5, lease_s=15.25, gang_wait_s=40.0, gang_peer_s=6.0, cancel_s=40.25
    ),
    "wongsakul": AgentTimes(
        report_s=3.0, lease_s=20.0, gang_wait_s=40.0, gang_peer_s=6.0, cancel_s=40.0
    ),
}


class Gap(NamedTuple):
    confirmer: int  # which controller answers the users who cancel
    way: str = "open"  # from the confirmer to the old leader: open, refused, held
    ends: str = ""  # the confirmer ends and is back: "before" the outage, "in" it; "gone": stays
    third: bool = True  # whether the third controller hears the confirmer
    job: str = "running"  # or "new": accepted and started while the leader is refused
    repeat: bool = False  # the first confirmation is lost; the other peer answers the repeat

    @property
    def heard(self) -> bool:
        """Whether the old leader hears all its peers throughout."""
        return self.way == "open" and not self.ends


GAPS = [
    Gap(1),
    Gap(2),
    Gap(1, "refused"),
    Gap(2, "refused"),
    Gap(1, "held"),
    Gap(2, "held"),
    Gap(1, ends="before"),
    Gap(2, ends="before"),
    Gap(1, ends="in"),
    Gap(2, ends="in"),
    Gap(1, ends="gone"),
    Gap(1, "refused", "before"),
    Gap(1, "refused", "in"),
    Gap(1, "held", "in"),
    Gap(2, "held", "before"),
    Gap(2, "refused", "gone"),
    Gap(1, third=False),
    Gap(1, "refused", third=False),
    Gap(1, "refused", "before", False),
    Gap(1, "held", "in", False),
    Gap(1, job="new"),
    Gap(2, "refused", job="new"),
    Gap(1, "held", job="new"),
    Gap(1, "refused", "before", job="new"),
    Gap(1, repeat=True),
    Gap(1, "refused", repeat=True),
    Gap(1, "held", "before", repeat=True),
]


JOBS = ("wk-000001", "wk-000002", "wk-000003")
LONG = {"realS": 900.0, "ripenS": 900.0, "vcpus": 1.0}
RESTART_AFTER = 0.3
CUT_FOR = 20.0


class GapDay:
    """The steps of one day: which jobs are doomed, and who is cut off from whom."""

    def __init__(self, sim: Simulation, gap: Gap) -> None:
        self.sim = sim
        self.gap = gap
        self.confirmer, self.other = f"n{gap.confirmer}", f"n{3 - gap.confirmer}"
        self.doomed = [JOBS[0]]

    async def begin(self) -> None:
        """Jobs that last; then the store refuses the leader, and links break."""
        sim, gap = self.sim, self.gap
        for number in (1, 2, 3):
            await sim.submit(job(number, rows=6, **LONG))
        with trio.fail_after(sim.times.lease_s * 2):
            while len(sim.world.rules.placements) < 18:
                await trio.sleep(0.1)
        assert sim.controllers["n0"].membership.cluster_leader_token is not None
        sim.state_store.refused_callers.add("n0")
        if gap.job == "new":
            await sim.submit(job(4, rows=12, **LONG))
            self.doomed.append("wk-000004")
            await trio.sleep(1.0)
        if gap.way == "refused":
            sim.network.refused_connections |= {(self.confirmer, "n0"), ("n0", self.confirmer)}
        elif gap.way == "held":
            sim.network.hold_back(self.confirmer, "n0")
        if not gap.third:
            sim.network.partition(self.confirmer, self.other)

    async def cancel(self) -> None:
        """The doomed jobs are cancelled, and confirmed."""
        for id in self.doomed:
            if self.gap.repeat:
                await self._lose_confirmation(id)
                await self._withdraw(3 - self.gap.confirmer, id)
            else:
                await self._withdraw(self.gap.confirmer, id)

    async def _lose_confirmation(self, id: str) -> None:
        """Committed, but the answer never reaches the user, nor a message any peer."""
        sim = self.sim
        sim.network.partition(self.confirmer, "n0")
        sim.network.partition(self.confirmer, self.other)
        sim.invariants.cancel_requested.add(id)
        await sim.call(self.gap.confirmer, "POST", f"/api/jobs/{id}/cancel")
        sim.network.partitions.clear()
        await trio.sleep(0.5)

    async def _withdraw(self, node: int, id: str) -> None:
        self.sim.invariants.cancel_requested.add(id)
        answer = await self.sim.ask(node, "POST", f"/api/jobs/{id}/cancel", about=id)
        assert answer == (200, "withdrawn")

    async def outage(self) -> None:
        """The store goes away for longer than `cancel_s`; the confirmer may end before or in it."""
        sim, gap = self.sim, self.gap
        if gap.ends == "before":
            sim.kill(self.confirmer)
            await trio.sleep(0.2)
            sim.start(self.confirmer)
            await trio.sleep(0.5)
        await trio.sleep(0.3)
        sim.state_store.stop()
        assert sim.controllers["n0"].membership.cluster_leader_token is not None
        if gap.ends in ("in", "gone"):
            await trio.sleep(3.0)
            sim.kill(self.confirmer)
            if gap.ends == "in":
                await trio.sleep(RESTART_AFTER)
                sim.start(self.confirmer)
        await trio.sleep(CUT_FOR)
        sim.network.release_held_back()
        await trio.sleep(sim.times.cancel_s + 2.0 - CUT_FOR)

    def check_gone(self) -> None:
        """Nothing of what was cancelled is left; all else is, if the leader heard everybody."""
        left = self._left()
        assert not left & set(self.doomed)
        self.sim.check()
        if self.gap.heard:
            # Nobody is missing: the leader knows all there is to know, and all else goes on.
            assert self.sim.world.rules.tasks_lost_to_lease_expiry == 0
            assert left >= {"wk-000002", "wk-000003"}

    def _left(self) -> set[str]:
        return {task.rpartition("/")[0] for task in self.sim.world.rules.placements}

    async def afterwards(self) -> None:
        """All troubles are over: every job is known, and no doomed one runs again."""
        sim = self.sim
        sim.state_store.resume()
        sim.state_store.refused_callers.clear()
        sim.network.heal()
        if self.gap.ends == "gone":
            sim.start(self.confirmer)
        await sim.wait_until_known(list(JOBS), within=30)
        await trio.sleep(sim.times.lease_s * 2)
        assert not self._left() & set(self.doomed)
        sim.check()


@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize("gap", GAPS, ids=lambda g: "-".join(str(v) for v in g))
def test_cancelled_tasks_are_gone_in_time(
    gap: Gap, site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def day(sim: Simulation) -> None:
        steps = GapDay(sim, gap)
        await steps.begin()
        await steps.cancel()
        await steps.outage()
        steps.check_gone()
        await steps.afterwards()

    run(monkeypatch, day, times=SITES[site])


A = PeerReply
KNOWN: list[tuple[float, list[PeerReply | None], float, float]] = [
    # our copy as of, answers of the peers, cancellations known up to, owned alone up to
    (90.0, [None, None], 90.0, 90.0),
    (10.0, [A(99.0, 1.0, 1.0), None], 98.0, 10.0),  # a peer that reads the store passes on
    (10.0, [A(99.0, 60.0, 2.0), None], 97.0, 10.0),  # or one that hears all of its own
    (10.0, [A(99.0, 60.0, 60.0), A(98.0, 50.0, 50.0)], 98.0, 98.0),  # all asked, in an outage
    # one has read nothing
    (10.0, [A(99.0, NEVER_READ, NEVER_READ), A(98.0, 50.0, 50.0)], 48.0, 10.0),
    (10.0, [A(99.0, 60.0, 60.0), A(20.0, 1.0, 1.0)], 39.0, 20.0),  # one is silent since
    (95.0, [A(99.0, 60.0, 60.0), A(98.0, 50.0, 50.0)], 98.0, 98.0),
    (99.5, [A(99.0, 60.0, 60.0), A(98.0, 50.0, 50.0)], 99.5, 99.5),
    (10.0, [], 10.0, 10.0),  # the only controller
]


@pytest.mark.parametrize(("copy_at", "answers", "known", "owned"), KNOWN)
def test_evidence(
    copy_at: float, answers: list[PeerReply | None], known: float, owned: float
) -> None:
    assert cancellations_verified(copy_at, answers) == known
    assert leadership_verified(copy_at, answers) == owned


@pytest.mark.parametrize("site", SITES)
def test_evidence_age_and_a_lease_end_within_cancel_s(site: str) -> None:
    """The edge: an leader that learns nothing renews last at c + blind, the agent counts on."""
    times = SITES[site]
    rules = policy.parse("", settings("n0", times))
    assert 0 < rules.max_evidence_age < max_freshness_bound(times)
    assert lease_expired_at(max_freshness_bound(times), times) <= times.cancel_s
    assert lease_expired_at(max_freshness_bound(times) * 1.01, times) > times.cancel_s
    at_most = f"max_evidence_age = {max_freshness_bound(times):.6f} - 0.001"
    assert policy.parse(at_most, settings("n0", times)).max_evidence_age > rules.max_evidence_age
    with pytest.raises(policy.PolicyError, match=r"p.conf:1: max_evidence_age: .* beyond cancel_s"):
        policy.parse(
            f"max_evidence_age = {max_freshness_bound(times) + 0.01}",
            settings("n0", times),
            "p.conf",
        )


def _beat(incarnation: str, number: int, seen: int = 5) -> PeerHeartbeat:
    return PeerHeartbeat(
        "n1", incarnation, number, seen, 0.1, 0.1, [Cancellation("wk-1", 9, 1, 0)], [], [], []
    )


ORDERS: list[tuple[list[tuple[str, int, float | None]], str, list[bool]]] = [
    # heartbeats (incarnation, number, when we asked for it), incarnation in the store, taken in
    ([("x", 1, 0.0), ("x", 2, None), ("x", 1, None)], "x", [True, True, False]),
    ([("x", 5, None), ("x", 4, 0.5)], "x", [True, False]),
    # the next incarnation, and a late one of the last
    ([("x", 9, 0.0), ("y", 1, 0.5), ("x", 10, None)], "y", [True, True, False]),
    ([("x", 9, 0.0), ("y", 1, None), ("y", 2, 1.5)], "x", [True, False, True]),
    ([("x", 9, 0.0), ("y", 1, None), ("x", 10, None)], "y", [True, True, False]),
    # an answer of the last one, asked for before we knew of the next
    ([("y", 1, None), ("x", 9, -1.0), ("y", 2, 1.5)], "y", [True, False, True]),
    # a mistake, for the store's copy was behind as well, is put right by the next answer
    ([("y", 1, None), ("x", 9, None), ("y", 2, 2.5)], "x", [True, True, True]),
]


@pytest.mark.parametrize(("heartbeats", "listed", "taken"), ORDERS)
def test_heartbeats_have_an_order(
    heartbeats: list[tuple[str, int, float | None]], listed: str, taken: list[bool]
) -> None:
    """One second lies between each and the next."""

    async def main() -> None:
        peer = Peer("n1", "10.0.0.1:8081")
        found = []
        start = trio.current_time()
        for incarnation, number, asked in heartbeats:
            asked_at = None if asked is None else start + asked
            found.append(peer.accept_newer(_beat(incarnation, number), asked_at, listed))
            await trio.sleep(1.0)
        assert found == taken

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_cancellations_are_told_however_long_ago(monkeypatch: pytest.MonkeyPatch) -> None:
    """They were told for a limited time; a leader deaf for longer began their tasks again."""

    async def day(sim: Simulation) -> None:
        await sim.submit(job(1, rows=6, realS=900.0, ripenS=900.0, vcpus=1.0))
        await trio.sleep(4)
        for other in ("n1", "n2"):
            sim.network.partition("n0", other)
        sim.state_store.refused_callers.add("n0")
        await sim.cancel("wk-000001")
        await trio.sleep(1.0)
        sim.state_store.stop()
        await trio.sleep(sim.times.cancel_s * 2 + 10)
        sim.network.partitions.clear()  # peers again, the store still out
        await trio.sleep(sim.times.lease_s * 2)
        job_ = sim.controllers["n0"].job_index.jobs["wk-000001"]
        assert not job_.open
        assert not sim.world.rules.placements
        sim.state_store.refused_callers.clear()
        sim.state_store.resume()
        await trio.sleep(5)
        sim.check()

    run(monkeypatch, day)
