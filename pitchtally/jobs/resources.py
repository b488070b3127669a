"""Resources: what a task requests, what a machine offers, and what fits where."""

from __future__ import annotations

from typing import NamedTuple

from ..protocol import cloud_api, user_api

# Sums of many floats drift; a request that misses by less than this fits.
TOLERANCE = 1e-6
# A request for nothing at all fits any number of times; counts stop here.
MAX_FITTING_TASKS = 1e6


class Resources(NamedTuple):
    """An amount of each resource: CPUs, GPUs, and memory in GiB. Sent as an array of three."""

    cpus: float
    gpus: float
    memory: float

    def plus(self, other: Resources) -> Resources:
        """The sum, resource by resource."""
        return Resources(self[0] + other[0], self[1] + other[1], self[2] + other[2])

    def minus(self, other: Resources) -> Resources:
        """The difference, resource by resource; it may be negative."""
        return Resources(self[0] - other[0], self[1] - other[1], self[2] - other[2])

    def times(self, count: int) -> Resources:
        """This amount so many times."""
        return Resources(self[0] * count, self[1] * count, self[2] * count)


NO_RESOURCES = Resources(0.0, 0.0, 0.0)


def resource_request(spec: user_api.JobSpec) -> Resources:
    """What each task of a job takes of its machine."""
    return Resources(spec.cpus, spec.gpus, spec.memory)


def limited_request(spec: user_api.JobSpec) -> Resources:
    """What each task takes of its team's limit, which counts CPUs and GPUs alone."""
    return Resources(spec.cpus, spec.gpus, 0.0)


def capacity_of(machine_type: cloud_api.MachineType) -> Resources:
    """What an empty machine of this type offers."""
    return Resources(machine_type.cpus, machine_type.gpus, machine_type.memory)


def fits(request: Resources, available: Resources) -> bool:
    """Whether a task with this request fits into what is available."""
    # By index, without a loop: asked some ten thousand times a second.
    return (
        request[0] <= available[0] + TOLERANCE
        and request[1] <= available[1] + TOLERANCE
        and request[2] <= available[2] + TOLERANCE
    )


def count_fitting(request: Resources, available: Resources) -> int:
    """How many tasks with this request fit into what is available."""
    most = MAX_FITTING_TASKS
    for wanted, free in zip(request, available, strict=True):
        if wanted > 0:
            most = min(most, (free + TOLERANCE) / wanted)
    return int(max(0.0, most))


def dominant_share(request: Resources, machine_type: cloud_api.MachineType) -> float:
    """The largest share of any one resource of a machine that a task takes."""
    return max(
        request[0] / machine_type.cpus if machine_type.cpus else 0.0,
        request[1] / machine_type.gpus if machine_type.gpus else 0.0,
        request[2] / machine_type.memory if machine_type.memory else 0.0,
    )
