"""A controller is cut from the state service and its peers; a job is cancelled at another node."""

from __future__ import annotations

import sys
from pathlib import Path

sys.dont_write_bytecode = True
ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps"), str(ROOT / "review" / "lib")]

import trio  # noqa: E402
from harness import CannotRunError, Site, job, run_case, small_deployment  # noqa: E402

MACHINES = 12
JOB = "wk-000100"
TASK_RUN_S = 2.0
CUT_S = 20.0  # the site files hold such cuts for 20 to 30 s
CANCELLED_AFTER_S = 0.5  # from the beginning of the cut


def set_cut(site: Site, node: str, *, held: bool) -> None:
    """Cut a controller from the state service and from its peers, or end the cut."""
    links = list(site.controllers[node].links.values())
    links += [peer.links[node] for peer in site.controllers.values() if node in peer.links]
    for link in links:
        if held:
            link.hold()
        else:
            link.release()


async def case(site: Site, trouble: bool) -> bool:
    """Return whether no report sent after the confirmation was answered with a start."""
    site.build(links=True)
    for controller in site.controllers.values():
        controller.start()
    await site.wait_ready(15)
    for _ in range(MACHINES):
        site.add_machine("mixbench", "chaophraya")
    spec = job(JOB, rows=60_000, memGb=2.4, ripenS=TASK_RUN_S)
    if await site.submit_until_accepted(spec, TASK_RUN_S) is None:
        raise CannotRunError("the job was not accepted")
    await trio.sleep(12)
    if len(site.runs) < MACHINES * 64:
        raise CannotRunError("the job did not run on all machines")
    if trouble:
        set_cut(site, "cellar-0", held=True)
        site.record.write("cellar-0 cut from the state service and its peers")
    await trio.sleep(CANCELLED_AFTER_S)
    told_at = None
    for node in ("cellar-1", "cellar-2") * 20:
        status, body = await site.ask(node, "POST", f"/api/jobs/{JOB}/cancel", timeout=5.0)
        site.record.write(f"cancel {JOB} at {node}: {status} {body}")
        if status == 200:
            told_at = site.record.now()
            break
        await trio.sleep(1)
    if told_at is None:
        raise CannotRunError("the cancellation was not confirmed")
    await trio.sleep(CUT_S)
    set_cut(site, "cellar-0", held=False)
    await trio.sleep(5)
    late = [run for run in site.runs_of(JOB) if run.reported_at > told_at]
    if late:
        last = max(run.started_at - told_at for run in late)
        site.record.write(
            f"BROKEN {len(late)} tasks of {JOB} started in answer to reports that were sent after"
            f" its user was told that it is cancelled, the last {last:.2f} s after"
        )
    return not late


run_case(Path(__file__).parent, case, deployment=small_deployment())
