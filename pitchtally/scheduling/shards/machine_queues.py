"""The queue that the machines of a group share, as the paper's local scheduler sees it."""

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
    """Machine-seconds of one task on such a machine: a of the paper.

    The estimate times the dominant share; the time to fetch the image is spread over all tasks.
    """
    task_s = estimates.task(spec)
    if spec.image:
        task_s += spec.image_gb / max(machine_type.fetch_rate, 1e-3) / max(1, spec.tasks)
    return task_s * dominant_share(resource_request(spec), machine_type)


def machine_queue(
    state: ShardState, machine_group: MachineGroup, rank: int
) -> list[stretch.QueueEntry]:
    """The queue of one machine of the group, without the ranks that a job of `rank` preempts.

    Each job's work is divided evenly by the machines that services leave.
    """
    entries = []
    for id, machine_seconds in machine_group.load_seconds.items():
        allocation = state.allocations.get(id)
        if allocation is not None and machine_group.ranks[id] <= rank:
            entries.append(
                stretch.QueueEntry(
                    allocation.release,
                    allocation.size,
                    machine_seconds / machine_group.batch_machines,
                )
            )
    return entries


def add_to_queue(
    estimates: Estimates, state: ShardState, group: MachineGroupKey, id: str, count: int
) -> None:
    """Add tasks of a job to the work in the queue of a machine group."""
    machine_group, allocation = state.machine_groups[group], state.allocations[id]
    machine_seconds = count * task_work(estimates, allocation.spec, machine_group.machine_type)
    machine_group.load_seconds[id] = machine_group.load_seconds.get(id, 0.0) + machine_seconds
    machine_group.ranks[id] = allocation.rank
