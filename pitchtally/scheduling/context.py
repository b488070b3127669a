"""Settings and lower-layer objects that all components of the scheduler share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from ..agents.manager import AgentManager
from ..config.policy import Policy
from ..config.settings import Settings
from ..jobs.commits import JobCommits
from ..jobs.index import JobIndex
from ..protocol import cloud_api
from . import stretch
from .estimates import Estimates


class AvailabilitySamples(NamedTuple):
    """The axes of the availability matrices, each a rising geometric series."""

    stretches: list[float]  # S, dimensionless
    sizes: list[float]  # w, in task-seconds
    task_work: list[float]  # a, in machine-seconds

    @classmethod
    def from_policy(cls, policy: Policy) -> AvailabilitySamples:
        """Return axes over fixed ranges, with as many samples as the policy sets."""
        return cls(
            # The first sample is far below the stretch of any real queue.
            stretch.geometric_series(2.0**-12, 2.0**3, int(policy.stretch_samples)),
            stretch.geometric_series(16.0, 2.0**19, int(policy.size_samples)),
            stretch.geometric_series(0.25, 0.25 * 3.0**7, int(policy.task_samples)),
        )


@dataclass(frozen=True)
class SchedulingContext:
    """Data and lower-layer objects that most components use; no components themselves."""

    settings: Settings
    policy: Policy
    job_index: JobIndex
    commits: JobCommits
    agents: AgentManager
    machine_types: Callable[[], dict[str, cloud_api.MachineType]]  # the catalog now, by name
    estimates: Estimates
    samples: AvailabilitySamples
    agent_heartbeat_s: float  # seconds between two heartbeats of an agent
    shard_count: int
