"""The oracle is tested too: for each rule, a run that breaks it is seen to be caught."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
import trio
import trio.testing

from standins.rules import Rules

from .oracle import Oracle
from .sim import TYPES, job


def worker(name: str, zone: str = "a", *, spot: bool = False, type: str = "big") -> Any:
    return SimpleNamespace(
        name=name,
        zone=zone,
        spot=spot,
        type=type,
        tasks={},
        hung=False,
        sick=False,
        notice_at=None,
        free_cpus=lambda: 8.0,
    )


def accepted(oracle: Oracle, **more: Any) -> str:
    spec = job(1, **more)
    oracle.rules.specs[spec["ref"]] = spec
    oracle.told(0.0, 0.1, spec["ref"], 201, "pending")
    return str(spec["ref"])


def start(oracle: Oracle, task: int, where: Any) -> None:
    oracle.rules.start(where, f"wk-000001/{task}")


async def ran_twice(oracle: Oracle) -> None:
    accepted(oracle)
    start(oracle, 0, worker("i-1"))
    start(oracle, 0, worker("i-2"))


async def quota(oracle: Oracle) -> None:
    accepted(oracle, crew="tight", vcpus=4.0)
    start(oracle, 0, worker("i-1"))
    start(oracle, 1, worker("i-2"))


async def wrong_zone(oracle: Oracle) -> None:
    accepted(oracle, oneZone=True)
    start(oracle, 0, worker("i-1", "a"))
    start(oracle, 1, worker("i-2", "b"))


async def wrong_parcel(oracle: Oracle) -> None:
    accepted(oracle, parcel="b")
    start(oracle, 0, worker("i-1", "a"))


async def wrong_spread(oracle: Oracle) -> None:
    accepted(oracle, spread=True, rows=2)
    start(oracle, 0, worker("i-1", "a"))
    start(oracle, 1, worker("i-2", "a"))


async def wrong_type(oracle: Oracle) -> None:
    accepted(oracle, presses=["other"])
    start(oracle, 0, worker("i-1"))


async def wrong_kind(oracle: Oracle) -> None:
    accepted(oracle, gleaning=False)
    start(oracle, 0, worker("i-1", spot=True))


async def ran_cancelled(oracle: Oracle) -> None:
    id = accepted(oracle)
    start(oracle, 0, worker("i-1"))
    oracle.asked_cancel.add(id)
    oracle.told(1.0, 1.1, id, 200, "withdrawn")
    await trio.sleep(30)
    oracle.rules.check()


async def started_cancelled(oracle: Oracle) -> None:
    id = accepted(oracle)
    oracle.asked_cancel.add(id)
    oracle.told(1.0, 1.1, id, 200, "withdrawn")
    await trio.sleep(30)
    start(oracle, 0, worker("i-1"))


async def forgotten(oracle: Oracle) -> None:
    oracle.told(5.0, 5.1, accepted(oracle), 404, "")


async def forgotten_repeat(oracle: Oracle) -> None:
    oracle.told(5.0, 5.1, accepted(oracle), 400, "", repeat=True)


async def silent(oracle: Oracle) -> None:
    accepted(oracle)
    oracle.silent(100.0, calm_since=20.0)


async def invented(oracle: Oracle) -> None:
    oracle.told(0.0, 0.1, "wk-000009", 200, "pending")


async def not_done(oracle: Oracle) -> None:
    oracle.told(5.0, 5.1, accepted(oracle), 200, "done")


async def went_back(oracle: Oracle) -> None:
    id = accepted(oracle, rows=1)
    oracle.rules.done.add(f"{id}/0")
    oracle.told(5.0, 5.1, id, 200, "done")
    oracle.told(6.0, 6.1, id, 200, "running")


async def cancelled_by_nobody(oracle: Oracle) -> None:
    oracle.told(5.0, 5.1, accepted(oracle), 200, "withdrawn")


async def waits(oracle: Oracle) -> None:
    accepted(oracle, rows=1)
    world: Any = SimpleNamespace(types=TYPES, workers={"i-1": worker("i-1")})
    oracle.idle(0.0, world)
    oracle.idle(91.0, world)


BREAKS: list[tuple[Callable[[Oracle], Any], str]] = [
    (ran_twice, "ran_twice"),
    (quota, "quota"),
    (wrong_zone, "wrong_place zone"),
    (wrong_parcel, "wrong_place parcel"),
    (wrong_spread, "wrong_place spread"),
    (wrong_type, "wrong_place type"),
    (wrong_kind, "wrong_place spot"),
    (ran_cancelled, "ran_cancelled"),
    (started_cancelled, "ran_cancelled"),
    (forgotten, "forgotten"),
    (forgotten_repeat, "forgotten"),
    (silent, "forgotten"),
    (invented, "invented"),
    (not_done, "not_done"),
    (went_back, "went_back"),
    (cancelled_by_nobody, "went_back"),
    (waits, "waits"),
]


@pytest.mark.parametrize(("breaks", "rule"), BREAKS, ids=[b.__name__ for b, _ in BREAKS])
def test_each_rule_is_watched(breaks: Callable[[Oracle], Any], rule: str) -> None:
    async def main() -> None:
        rules = Rules(25.0)
        rules.limits = {"tight": 6.0}
        oracle = Oracle(rules)
        await breaks(oracle)
        assert any(text.startswith(rule) for text in [*rules.broken, *oracle.broken])
        with pytest.raises(AssertionError):
            oracle.check()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_what_is_allowed_is_not_told() -> None:
    """An answer under way when a later one came; a job at its team's limit; no room."""

    async def main() -> None:
        rules = Rules(25.0)
        rules.limits = {"tight": 2.0}
        oracle = Oracle(rules)
        id = accepted(oracle, rows=2, crew="tight")
        start(oracle, 0, worker("i-1"))
        world: Any = SimpleNamespace(types=TYPES, workers={"i-1": worker("i-1")})
        oracle.idle(0.0, world)
        oracle.idle(91.0, world)
        rules.done |= {f"{id}/0", f"{id}/1"}
        oracle.told(5.0, 6.0, id, 200, "done")
        oracle.told(5.5, 6.5, id, 200, "running")
        oracle.silent(60.0, calm_since=20.0)
        oracle.told(0.0, 7.0, "wk-000009", 404, "")
        oracle.check()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
