"""A burst of small jobs moves a team's limit between shards; a larger job of the team follows."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

sys.dont_write_bytecode = True
ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps"), str(ROOT / "review" / "lib")]

import trio  # noqa: E402
from harness import CannotRunError, Site, job, run_case, small_deployment  # noqa: E402

TEAM, LIMIT_CPUS = "pickers", 32.0
SMALL_JOBS, SMALL_CPUS, SMALL_RUN_S = 4, 8.0, 4.0
LARGE, LARGE_CPUS, LARGE_RUN_S = "wk-000200", 20.0, 4.0
BURST_FACTOR = 4  # the site files hold bursts of a class with factors of 2 to 4
SERVICE = "wk-000050"
LEFT_WAITING_S = 90.0  # hunt/LATER.md


def deployment() -> dict[str, Any]:
    """Return a small brda-harvest: its times, state service and two of its machine types."""
    values = small_deployment()
    hall = values["types"].pop("mixbench")
    hall |= {"vcpus": 64.0, "memGb": 128.0, "rate": 3.43, "spotPrice": 1.15, "readyS": 30.0}
    trellis = {**hall, "vcpus": 8.0, "memGb": 32.0, "rate": 0.47, "spotPrice": 0.15, "readyS": 25.0}
    values["types"] = {
        "cellarhall": {**hall, "parcels": ["dobrovo"]},
        "trellis": {**trellis, "parcels": ["dobrovo"]},
    }
    values["zones"] = ["dobrovo"]
    values["teams"] = [
        {"name": TEAM, "cpus": 16.0, "cpus_max": LIMIT_CPUS},
        {"name": "cellar", "cpus": 0.0, "cpus_max": 0.0},
    ]
    values["workers"] |= {"report_s": 1.5, "lease_s": 14.0, "cancel_s": 39.0}
    values["state"] |= {"rps": 250.0, "write_rps": 100.0, "txn_ops": 48}
    values["cloud"] = {"rps": 4.0, "list_lag_s": 8.0}
    return values


async def case(site: Site, trouble: bool) -> bool:
    """Return whether the larger job began within 90 s of its acceptance."""
    site.build()
    for controller in site.controllers.values():
        controller.start()
    await site.wait_ready(15)
    for type_ in ("trellis", "trellis", "cellarhall", "trellis", "trellis"):
        site.add_machine(type_, "dobrovo")
    # A service of another team, without a limit, keeps the large machine in use.
    service = job(
        SERVICE,
        vintage="pressgate",
        crew="cellar",
        cut="standing",
        rank="production",
        vcpus=2.0,
        presses=["cellarhall"],
        ripenS=0.0,
    )
    if await site.submit_until_accepted(service, 1e6) is None:
        raise CannotRunError("the service was not accepted")
    with trio.move_on_after(10):
        while not site.runs_of(SERVICE):
            await trio.sleep(0.1)
    small = [f"wk-{number:06d}" for number in range(100, 100 + SMALL_JOBS)]
    await _run_small_jobs(site, small, at_once=BURST_FACTOR if trouble else 1)
    site.record.write("the small jobs have ended")
    large = job(LARGE, crew=TEAM, rank="standard", vcpus=LARGE_CPUS, memGb=8.0, ripenS=4.0)
    if await site.submit_until_accepted(large, LARGE_RUN_S) is None:
        raise CannotRunError(f"{LARGE} was not accepted")
    with trio.move_on_after(LEFT_WAITING_S + 0.5):
        while not site.runs_of(LARGE):
            await trio.sleep(0.2)
    if site.runs_of(LARGE):
        site.record.write(f"{LARGE} began")
        return True
    room = {worker.name: worker.free_cpus() for worker in site.workers.values()}
    running = [site.jobs[task.rpartition("/")[0]] for _, task in site.current]
    used = sum(spec["vcpus"] for spec in running if spec["crew"] == TEAM)
    if max(room.values()) < LARGE_CPUS or used + LARGE_CPUS > LIMIT_CPUS:
        raise CannotRunError(f"there was no room: {room}, or no limit left: {used}")
    site.record.write(
        f"BROKEN {LARGE} ({LARGE_CPUS} CPUs) waited for {LEFT_WAITING_S} s; its team used {used} of"
        f" {LIMIT_CPUS} CPUs; free CPUs by machine: {room}"
    )
    return False


async def _run_small_jobs(site: Site, ids: list[str], *, at_once: int) -> None:
    """Submit the small jobs, so many at a time, and wait until all of them have run."""
    for first in range(0, len(ids), at_once):
        group = ids[first : first + at_once]
        for id in group:
            spec = job(
                id,
                crew=TEAM,
                rank="standard",
                vcpus=SMALL_CPUS,
                memGb=8.0,
                presses=["trellis"],
                ripenS=SMALL_RUN_S,
            )
            if await site.submit_until_accepted(spec, SMALL_RUN_S) is None:
                raise CannotRunError(f"{id} was not accepted")
        with trio.move_on_after(15 if at_once > 1 else 8):
            while not all(any(run.cause for run in site.runs_of(id)) for id in group):
                await trio.sleep(0.1)
        if not all(any(run.cause == "done" for run in site.runs_of(id)) for id in group):
            raise CannotRunError(f"not all of {group} ran in time")


run_case(Path(__file__).parent, case, deployment=deployment())
