"""Resource amounts: task requests, machine capacities, and whether one fits into the other."""

from __future__ import annotations

from typing import NamedTuple

from ..protocol import cloud_api, user_api

# Sums of many floats accumulate rounding errors, so a request still fits if it exceeds the
# available amount of a resource by no more than this (in CPUs, GPUs or GiB).
RESOURCE_TOLERANCE = 1e-6
# Upper bound of `count_fitting`: an empty request would fit any number of times.
MAX_FITTING_TASKS = 1e6


class Resources(NamedTuple):
    """An amount of each resource: CPUs, GPUs, and memory in GiB. Sent as an array of three."""

    cpus: float
    gpus: float
    memory: float

    def plus(self, other: Resources) -> Resources:
        """Return the sum, resource by resource."""
        return Resources(self[0] + other[0], self[1] + other[1], self[2] + other[2])

    def minus(self, other: Resources) -> Resources:
        """Return the difference, resource by resource; it may be negative."""
        return Resources(self[0] - other[0], self[1] - other[1], self[2] - other[2])

    def times(self, count: int) -> Resources:
        """Return this amount multiplied by `count`."""
        return Resources(self[0] * count, self[1] * count, self[2] * count)


NO_RESOURCES = Resources(0.0, 0.0, 0.0)


def resource_request(spec: user_api.JobSpec) -> Resources:
    """Return the resources that each task of a job takes on its machine."""
    return Resources(spec.cpus, spec.gpus, spec.memory)


def limited_request(spec: user_api.JobSpec) -> Resources:
    """Return what each task counts against its team's limit, which covers only CPUs and GPUs."""
    return Resources(spec.cpus, spec.gpus, 0.0)


def capacity_of(machine_type: cloud_api.MachineType) -> Resources:
    """Return the resources of an empty machine of this type."""
    return Resources(machine_type.cpus, machine_type.gpus, machine_type.memory)


def fits(request: Resources, available: Resources) -> bool:
    """Return whether a task with this request fits into the available resources."""
    # Compares by index, without a loop: this is called some ten thousand times a second.
    return (
        request[0] <= available[0] + RESOURCE_TOLERANCE
        and request[1] <= available[1] + RESOURCE_TOLERANCE
        and request[2] <= available[2] + RESOURCE_TOLERANCE
    )


def count_fitting(request: Resources, available: Resources) -> int:
    """Return how many tasks with this request fit into the available resources."""
    count = MAX_FITTING_TASKS
    for requested, free in zip(request, available, strict=True):
        if requested > 0:
            count = min(count, (free + RESOURCE_TOLERANCE) / requested)
    return int(max(0.0, count))


def dominant_share(request: Resources, machine_type: cloud_api.MachineType) -> float:
    """Return the largest share that a task takes of any one resource of an empty machine."""
    return max(
        request[0] / machine_type.cpus if machine_type.cpus else 0.0,
        request[1] / machine_type.gpus if machine_type.gpus else 0.0,
        request[2] / machine_type.memory if machine_type.memory else 0.0,
    )
