"""The gap: the store refuses the leader, a peer confirms cancellations, then all are refused.

Meanwhile the workers go on reporting to the old leader, which can't read of the
cancellations any more. At the real figures of both deployments.
"""

from __future__ import annotations

from typing import NamedTuple

import pytest
import trio
import trio.testing

from pitchtally import policy
from pitchtally.control.evidence import (
    NEVER,
    Answer,
    blind_most,
    cancellations_known,
    lease_over,
    owned_alone,
)
from pitchtally.control.members import Cancellation, Heartbeat, Peer
from pitchtally.settings import WorkerTimes

from .sim import Sim, job, run, settings

SITES = {
    "brda": WorkerTimes(
        report_s=2.5, lease_s=15.25, gang_wait_s=40.0, gang_peer_s=6.0, cancel_s=40.25
    ),
    "wongsakul": WorkerTimes(
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


@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize("gap", GAPS, ids=lambda g: "-".join(str(v) for v in g))
def test_cancelled_tasks_are_gone_in_time(
    gap: Gap, site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    times = SITES[site]

    async def withdraw(sim: Sim, node: int, id: str) -> None:
        sim.oracle.asked_cancel.add(id)
        answer = await sim.ask(node, "POST", f"/api/jobs/{id}/cancel", about=id)
        assert answer == (200, "withdrawn")

    async def day(sim: Sim) -> None:
        confirmer, other = f"n{gap.confirmer}", f"n{3 - gap.confirmer}"
        long = {"realS": 900.0, "ripenS": 900.0, "vcpus": 1.0}
        for number in (1, 2, 3):
            await sim.submit(job(number, rows=6, **long))
        with trio.fail_after(times.lease_s * 2):
            while len(sim.world.rules.places) < 18:
                await trio.sleep(0.1)
        assert sim.controllers["n0"].members.leading is not None
        sim.state.refuses.add("n0")
        doomed = ["wk-000001"]
        if gap.job == "new":
            await sim.submit(job(4, rows=12, **long))
            doomed.append("wk-000004")
            await trio.sleep(1.0)
        if gap.way == "refused":
            sim.network.refused |= {(confirmer, "n0"), ("n0", confirmer)}
        elif gap.way == "held":
            sim.network.hold(confirmer, "n0")
        if not gap.third:
            sim.network.cut(confirmer, other)
        for id in doomed:
            if gap.repeat:
                # Committed, but the answer never reaches the user, nor a message any peer.
                sim.network.cut(confirmer, "n0")
                sim.network.cut(confirmer, other)
                sim.oracle.asked_cancel.add(id)
                await sim.call(gap.confirmer, "POST", f"/api/jobs/{id}/cancel")
                sim.network.cuts.clear()
                await trio.sleep(0.5)
                await withdraw(sim, 3 - gap.confirmer, id)
            else:
                await withdraw(sim, gap.confirmer, id)
        if gap.ends == "before":
            sim.kill(confirmer)
            await trio.sleep(0.2)
            sim.start(confirmer)
            await trio.sleep(0.5)
        await trio.sleep(0.3)
        sim.state.stop()
        assert sim.controllers["n0"].members.leading is not None
        if gap.ends in ("in", "gone"):
            await trio.sleep(3.0)
            sim.kill(confirmer)
            if gap.ends == "in":
                await trio.sleep(0.3)
                sim.start(confirmer)
        await trio.sleep(20.0)
        sim.network.deliver()
        await trio.sleep(times.cancel_s + 2.0 - 20.0)
        left = {task.rpartition("/")[0] for task in sim.world.rules.places}
        assert not left & set(doomed)
        sim.check()
        if gap.heard:
            # Nobody is missing: the leader knows all there is to know, and all else goes on.
            assert sim.world.rules.leases_over == 0
            assert left >= {"wk-000002", "wk-000003"}
        sim.state.resume()
        sim.state.refuses.clear()
        sim.network.heal()
        if gap.ends == "gone":
            sim.start(confirmer)
        await sim.known(["wk-000001", "wk-000002", "wk-000003"], within=30)
        await trio.sleep(times.lease_s * 2)
        assert not {t.rpartition("/")[0] for t in sim.world.rules.places} & set(doomed)
        sim.check()

    run(monkeypatch, day, times=times)


A = Answer
KNOWN: list[tuple[float, list[Answer | None], float, float]] = [
    # our copy as of, answers of the peers, cancellations known up to, owned alone up to
    (90.0, [None, None], 90.0, 90.0),
    (10.0, [A(99.0, 1.0, 1.0), None], 98.0, 10.0),  # a peer that reads the store passes on
    (10.0, [A(99.0, 60.0, 2.0), None], 97.0, 10.0),  # or one that hears all of its own
    (10.0, [A(99.0, 60.0, 60.0), A(98.0, 50.0, 50.0)], 98.0, 98.0),  # all asked, in an outage
    (10.0, [A(99.0, NEVER, NEVER), A(98.0, 50.0, 50.0)], 48.0, 10.0),  # one has read nothing
    (10.0, [A(99.0, 60.0, 60.0), A(20.0, 1.0, 1.0)], 39.0, 20.0),  # one is silent since
    (95.0, [A(99.0, 60.0, 60.0), A(98.0, 50.0, 50.0)], 98.0, 98.0),
    (99.5, [A(99.0, 60.0, 60.0), A(98.0, 50.0, 50.0)], 99.5, 99.5),
    (10.0, [], 10.0, 10.0),  # the only controller
]


@pytest.mark.parametrize(("copy_at", "answers", "known", "owned"), KNOWN)
def test_evidence(copy_at: float, answers: list[Answer | None], known: float, owned: float) -> None:
    assert cancellations_known(copy_at, answers) == known
    assert owned_alone(copy_at, answers) == owned


@pytest.mark.parametrize("site", SITES)
def test_blind_and_a_lease_end_within_cancel_s(site: str) -> None:
    """The edge: an owner that learns nothing renews last at c + blind, the worker counts on."""
    times = SITES[site]
    rules = policy.parse("", settings("n0", times))
    assert 0 < rules.blind < blind_most(times)
    assert lease_over(blind_most(times), times) <= times.cancel_s
    assert lease_over(blind_most(times) * 1.01, times) > times.cancel_s
    at_most = f"blind = {blind_most(times):.6f} - 0.001"
    assert policy.parse(at_most, settings("n0", times)).blind > rules.blind
    with pytest.raises(policy.PolicyError, match=r"p.conf:1: blind: .* beyond cancel_s"):
        policy.parse(f"blind = {blind_most(times) + 0.01}", settings("n0", times), "p.conf")


def _beat(incarnation: str, number: int, seen: int = 5) -> Heartbeat:
    return Heartbeat(
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


@pytest.mark.parametrize(("beats", "listed", "taken"), ORDERS)
def test_heartbeats_have_an_order(
    beats: list[tuple[str, int, float | None]], listed: str, taken: list[bool]
) -> None:
    """One second lies between each and the next."""

    async def main() -> None:
        peer = Peer("n1", "10.0.0.1:8081")
        found = []
        start = trio.current_time()
        for incarnation, number, asked in beats:
            asked_at = None if asked is None else start + asked
            found.append(peer.renews(_beat(incarnation, number), asked_at, listed))
            await trio.sleep(1.0)
        assert found == taken

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_cancellations_are_told_however_long_ago(monkeypatch: pytest.MonkeyPatch) -> None:
    """They were told for a limited time; a leader deaf for longer began their tasks again."""

    async def day(sim: Sim) -> None:
        await sim.submit(job(1, rows=6, realS=900.0, ripenS=900.0, vcpus=1.0))
        await trio.sleep(4)
        for other in ("n1", "n2"):
            sim.network.cut("n0", other)
        sim.state.refuses.add("n0")
        await sim.cancel("wk-000001")
        await trio.sleep(1.0)
        sim.state.stop()
        await trio.sleep(sim.times.cancel_s * 2 + 10)
        sim.network.cuts.clear()  # peers again, the store still out
        await trio.sleep(sim.times.lease_s * 2)
        job_ = sim.controllers["n0"].book.jobs["wk-000001"]
        assert not job_.open
        assert not sim.world.rules.places
        sim.state.refuses.clear()
        sim.state.resume()
        await trio.sleep(5)
        sim.check()

    run(monkeypatch, day)
