"""The queue shared by the machines of a group, as input to the paper's local scheduler."""

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
    """Return the machine-seconds of one task on a machine of this type (a of the paper).

    The time to fetch the image, divided by the number of tasks, is added to the estimated run
    time. The sum is multiplied by the task's dominant share of the machine.
    """
    task_s = estimates.expected_run_s(spec)
    if spec.image:
        task_s += spec.image_gb / max(machine_type.fetch_rate, 1e-3) / max(1, spec.tasks)
    return task_s * dominant_share(resource_request(spec), machine_type)


def machine_queue(
    state: ShardState, machine_group: MachineGroup, rank: int
) -> list[stretch.QueueEntry]:
    """Return the queue of one machine of the group, without jobs that `rank` can preempt.

    Each job's work is divided evenly over the capacity that services leave free.
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
    """Add the work of `count` tasks of a job to the queue of a machine group."""
    machine_group, allocation = state.machine_groups[group], state.allocations[id]
    machine_seconds = count * task_work(estimates, allocation.spec, machine_group.machine_type)
    machine_group.load_seconds[id] = machine_group.load_seconds.get(id, 0.0) + machine_seconds
    machine_group.ranks[id] = allocation.rank
