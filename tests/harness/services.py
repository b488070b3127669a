"""Service jobs, and waiting until their replicas run on machines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio

from .simulation import TIMES, Simulation, job

# Time from the end of all faults until every replica runs again: a lease expires, a controller
# fails over, and a few heartbeats are exchanged.
RECOVERY_TIMEOUT_S = TIMES.lease_s * 2 + TIMES.report_s * 5


def service(number: int, **fields: Any) -> dict[str, Any]:
    """Return the submission of a service."""
    defaults = {"cut": "standing", "rank": "production", "rows": 3, "vcpus": 1.0, "ripenS": 0.0}
    return job(number, **{**defaults, **fields})


def replicas_up(sim: Simulation, id: str) -> int:
    """Return how many replicas of a service run on machines."""
    return sum(1 for task in sim.cloud.rules.placements if task.startswith(f"{id}/"))


async def wait_until(condition: Callable[[], bool], seconds: float) -> None:
    """Wait until a condition holds; raises TooSlowError after `seconds`."""
    with trio.fail_after(seconds):
        while not condition():
            await trio.sleep(0.1)


async def wait_until_up(sim: Simulation, *specs: dict[str, Any], within: float) -> None:
    """Wait until every replica of some services runs on a machine."""
    await wait_until(
        lambda: all(replicas_up(sim, spec["ref"]) == spec["rows"] for spec in specs), within
    )
