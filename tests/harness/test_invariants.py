"""Tests of the invariant checks: each violation is detected, allowed behaviour passes."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest
import trio
import trio.testing

from standins.agent import Agent
from standins.rules import Rules

from .invariants import InvariantChecker
from .simulation import MACHINE_TYPES, job


def make_agent(name: str, zone: str = "a", *, spot: bool = False, type: str = "big") -> Agent:
    """Return an agent with only the attributes that the invariants read."""
    fake_agent: Any = SimpleNamespace(
        name=name,
        zone=zone,
        spot=spot,
        type=type,
        tasks={},
        hung=False,
        fails_tasks=False,
        preemption_at=None,
        free_cpus=lambda: 8.0,
    )
    return cast(Agent, fake_agent)


def accept_job(invariants: InvariantChecker, **fields: object) -> str:
    spec = job(1, **fields)
    invariants.rules.specs[spec["ref"]] = spec
    invariants.observe(0.0, 0.1, spec["ref"], 201, "pending")
    return str(spec["ref"])


def start_task(invariants: InvariantChecker, task: int, agent: Agent) -> None:
    invariants.rules.start(agent, f"wk-000001/{task}")


async def ran_twice(invariants: InvariantChecker) -> None:
    accept_job(invariants)
    start_task(invariants, 0, make_agent("i-1"))
    start_task(invariants, 0, make_agent("i-2"))


async def over_quota(invariants: InvariantChecker) -> None:
    accept_job(invariants, crew="tight", vcpus=4.0)
    start_task(invariants, 0, make_agent("i-1"))
    start_task(invariants, 1, make_agent("i-2"))


async def wrong_zone(invariants: InvariantChecker) -> None:
    accept_job(invariants, oneZone=True)
    start_task(invariants, 0, make_agent("i-1", "a"))
    start_task(invariants, 1, make_agent("i-2", "b"))


async def wrong_parcel(invariants: InvariantChecker) -> None:
    accept_job(invariants, parcel="b")
    start_task(invariants, 0, make_agent("i-1", "a"))


async def wrong_spread(invariants: InvariantChecker) -> None:
    accept_job(invariants, spread=True, rows=2)
    start_task(invariants, 0, make_agent("i-1", "a"))
    start_task(invariants, 1, make_agent("i-2", "a"))


async def wrong_type(invariants: InvariantChecker) -> None:
    accept_job(invariants, presses=["other"])
    start_task(invariants, 0, make_agent("i-1"))


async def wrong_purchase_option(invariants: InvariantChecker) -> None:
    accept_job(invariants, gleaning=False)
    start_task(invariants, 0, make_agent("i-1", spot=True))


async def ran_cancelled(invariants: InvariantChecker) -> None:
    id = accept_job(invariants)
    start_task(invariants, 0, make_agent("i-1"))
    invariants.cancel_requested.add(id)
    invariants.observe(1.0, 1.1, id, 200, "withdrawn")
    await trio.sleep(30)
    invariants.rules.check()


async def started_after_cancel(invariants: InvariantChecker) -> None:
    id = accept_job(invariants)
    invariants.cancel_requested.add(id)
    invariants.observe(1.0, 1.1, id, 200, "withdrawn")
    await trio.sleep(30)
    start_task(invariants, 0, make_agent("i-1"))


async def accepted_job_unknown(invariants: InvariantChecker) -> None:
    invariants.observe(5.0, 5.1, accept_job(invariants), 404, "")


async def accepted_job_refused_on_repeat(invariants: InvariantChecker) -> None:
    invariants.observe(5.0, 5.1, accept_job(invariants), 400, "", repeat=True)


async def job_without_answers(invariants: InvariantChecker) -> None:
    accept_job(invariants)
    invariants.check_jobs_are_answered(100.0, faults_ended_at=20.0)


async def job_never_submitted(invariants: InvariantChecker) -> None:
    invariants.observe(0.0, 0.1, "wk-000009", 200, "pending")


async def done_too_early(invariants: InvariantChecker) -> None:
    invariants.observe(5.0, 5.1, accept_job(invariants), 200, "done")


async def stage_went_back(invariants: InvariantChecker) -> None:
    id = accept_job(invariants, rows=1)
    invariants.rules.completed_tasks.add(f"{id}/0")
    invariants.observe(5.0, 5.1, id, 200, "done")
    invariants.observe(6.0, 6.1, id, 200, "running")


async def cancelled_by_nobody(invariants: InvariantChecker) -> None:
    invariants.observe(5.0, 5.1, accept_job(invariants), 200, "withdrawn")


async def startable_job_waits(invariants: InvariantChecker) -> None:
    accept_job(invariants, rows=1)
    cloud: Any = SimpleNamespace(types=MACHINE_TYPES, agents={"i-1": make_agent("i-1")})
    invariants.check_startable_jobs_start(0.0, cloud)
    invariants.check_startable_jobs_start(91.0, cloud)


VIOLATIONS: list[tuple[Callable[[InvariantChecker], Any], str]] = [
    (ran_twice, "ran_twice"),
    (over_quota, "quota"),
    (wrong_zone, "wrong_place zone"),
    (wrong_parcel, "wrong_place parcel"),
    (wrong_spread, "wrong_place spread"),
    (wrong_type, "wrong_place type"),
    (wrong_purchase_option, "wrong_place spot"),
    (ran_cancelled, "ran_cancelled"),
    (started_after_cancel, "ran_cancelled"),
    (accepted_job_unknown, "lost_job"),
    (accepted_job_refused_on_repeat, "lost_job"),
    (job_without_answers, "lost_job"),
    (job_never_submitted, "unknown_job"),
    (done_too_early, "not_done"),
    (stage_went_back, "inconsistent_stage"),
    (cancelled_by_nobody, "inconsistent_stage"),
    (startable_job_waits, "starved"),
]


@pytest.mark.parametrize(
    ("violate", "violation"), VIOLATIONS, ids=[violate.__name__ for violate, _ in VIOLATIONS]
)
def test_each_violation_is_caught(
    violate: Callable[[InvariantChecker], Any], violation: str
) -> None:
    async def main() -> None:
        rules = Rules(25.0)
        rules.limits = {"tight": 6.0}
        invariants = InvariantChecker(rules)
        await violate(invariants)
        assert any(
            message.startswith(violation) for message in [*rules.violations, *invariants.violations]
        )
        with pytest.raises(AssertionError):
            invariants.check()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_allowed_behaviour_is_no_violation() -> None:
    """Neither answers that overlap in time nor a job at its team's limit violate an invariant.

    The job can't start its second task because its team's limit is 2 CPUs. A 404 answer to a
    job that was never accepted is allowed too.
    """

    async def main() -> None:
        rules = Rules(25.0)
        rules.limits = {"tight": 2.0}
        invariants = InvariantChecker(rules)
        id = accept_job(invariants, rows=2, crew="tight")
        start_task(invariants, 0, make_agent("i-1"))
        cloud: Any = SimpleNamespace(types=MACHINE_TYPES, agents={"i-1": make_agent("i-1")})
        invariants.check_startable_jobs_start(0.0, cloud)
        invariants.check_startable_jobs_start(91.0, cloud)
        rules.completed_tasks |= {f"{id}/0", f"{id}/1"}
        invariants.observe(5.0, 6.0, id, 200, "done")
        invariants.observe(5.5, 6.5, id, 200, "running")
        invariants.check_jobs_are_answered(60.0, faults_ended_at=20.0)
        invariants.observe(0.0, 7.0, "wk-000009", 404, "")
        invariants.check()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
