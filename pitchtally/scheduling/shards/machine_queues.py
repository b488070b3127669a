"""The queue that like machines share, as the paper's local scheduler sees it."""

from __future__ import annotations

from ...agents.machine import MachineGroupKey
from ...jobs.resources import dominant_share, resource_request
from ...protocol import cloud_api, user_api
from .. import stretch
from ..estimates import Estimates
from .allocations import MachineGroup, ShardState


def task_work(
    estimates: Estimates, spec: user_api.JobSpec, machine_type: cloud_api.MachineType
) -> float:
    """a: machine-seconds of one task there, its part of the image's fetch included."""
    seconds = estimates.task(spec)
    if spec.image:
        seconds += spec.image_gb / max(machine_type.fetch_rate, 1e-3) / max(1, spec.tasks)
    return seconds * dominant_share(resource_request(spec), machine_type)


def machine_queue(work: ShardState, machine_group: MachineGroup, rank: int) -> list[stretch.Entry]:
    """The queue of one of these machines as a job of that rank meets it: lower yield."""
    out = []
    for id, amount in machine_group.work.items():
        allocation = work.allocations.get(id)
        if allocation is not None and machine_group.ranks[id] <= rank:
            out.append(
                stretch.Entry(allocation.release, allocation.size, amount / machine_group.width)
            )
    return out


def add_to_queue(
    estimates: Estimates, work: ShardState, group: MachineGroupKey, id: str, count: int
) -> None:
    """Count tasks of a job as work in the queue of a group of machines."""
    machine_group, allocation = work.machine_groups[group], work.allocations[id]
    amount = count * task_work(estimates, allocation.spec, machine_group.machine_type)
    machine_group.work[id] = machine_group.work.get(id, 0.0) + amount
    machine_group.ranks[id] = allocation.rank
