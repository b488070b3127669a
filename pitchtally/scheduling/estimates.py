"""Expected run times of tasks: user estimates, corrected by job class from finished tasks.

A service replica has no run time: it runs until the job is cancelled. In queues it counts as
`horizon_s` seconds, the time that planning looks ahead, so the size (w) of a service is its number
of replicas times `horizon_s`. Running replicas are not work in a queue; they reduce the capacity of
their machines, see `placement.survey`.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from ..protocol import user_api

# A shorter run time counts as this one.
MIN_RUN_S = 0.1
# Bound on the absolute value of log(run time / estimate) of one finished task.
MAX_LOG_RATIO = 3.0
# The running mean counts at most this many finished tasks, so that newer ones keep an influence.
MAX_WEIGHT_TASKS = 200.0
# The user's estimate has the weight of this many finished tasks.
PRIOR_WEIGHT_TASKS = 5


class Correction(NamedTuple):
    """The mean error of the estimates of a job class."""

    weight: float  # number of finished tasks, bounded by `MAX_WEIGHT_TASKS`
    mean_log_ratio: float  # mean of log(run time / estimate)


NO_CORRECTION = Correction(0.0, 0.0)


class Estimates:
    """Estimates corrected by a running mean of log(run time / estimate) per job class."""

    def __init__(self, horizon_s: float) -> None:
        """Start without corrections; a service replica counts as a run of `horizon_s` seconds."""
        self.horizon_s = horizon_s
        self.corrections_by_class: dict[str, Correction] = {}

    def record_run_time(self, spec: user_api.JobSpec, run_s: float) -> None:
        """Update the correction of a job's class with a finished task's run time of `run_s`."""
        if run_s <= 0 or spec.estimate <= 0 or spec.is_service:
            return
        weight, mean_log_ratio = self.corrections_by_class.get(spec.job_class, NO_CORRECTION)
        log_ratio = math.log(max(run_s, MIN_RUN_S) / spec.estimate)
        log_ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, log_ratio))
        weight = min(weight + 1, MAX_WEIGHT_TASKS)
        mean_log_ratio += (log_ratio - mean_log_ratio) / weight
        self.corrections_by_class[spec.job_class] = Correction(weight, mean_log_ratio)

    def expected_run_s(self, spec: user_api.JobSpec) -> float:
        """Return the expected run time of one task in seconds.

        With only a few finished tasks in its class, this is close to the user's estimate.
        """
        if spec.is_service:
            return self.horizon_s
        weight, mean_log_ratio = self.corrections_by_class.get(spec.job_class, NO_CORRECTION)
        return max(
            MIN_RUN_S,
            spec.estimate * math.exp(mean_log_ratio * weight / (weight + PRIOR_WEIGHT_TASKS)),
        )
