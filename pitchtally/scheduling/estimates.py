"""Expected run times of tasks: the users' estimates, corrected by class from finished tasks.

A service's replica has no run time: it runs until the job is cancelled. In queues it counts as
`horizon` seconds, how far planning looks ahead, so w of a service is its replicas times that.
Running replicas aren't work in a queue but capacity that their machines lack, see
`placement.survey`.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from ..protocol import user_api

# Shorter run times count as this.
MIN_RUN_S = 0.1
# Ratios further from 1 than e to this power count as that.
MAX_LOG_RATIO = 3.0
# Finished tasks after which the mean forgets older ones.
MAX_WEIGHT = 200.0
# Finished tasks that the user's estimate counts for.
PRIOR_WEIGHT = 5


class Correction(NamedTuple):
    """How far the estimates of a job class are off."""

    weight: float  # finished tasks
    mean: float  # of log(run time / estimate)


NO_CORRECTION = Correction(0.0, 0.0)


class Estimates:
    """A running mean per job class of log(run time / estimate) corrects later estimates."""

    def __init__(self, horizon: float) -> None:
        """`horizon`: seconds for which a service's replica counts."""
        self.horizon = horizon
        self.corrections: dict[str, Correction] = {}  # by job class

    def record_run_time(self, spec: user_api.JobSpec, ran: float) -> None:
        """Update the correction of a class: a task of the job finished after `ran` seconds."""
        if ran <= 0 or spec.estimate <= 0 or spec.is_service:
            return
        weight, mean = self.corrections.get(spec.job_class, NO_CORRECTION)
        ratio = math.log(max(ran, MIN_RUN_S) / spec.estimate)
        ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, ratio))
        weight = min(weight + 1, MAX_WEIGHT)
        mean += (ratio - mean) / weight
        self.corrections[spec.job_class] = Correction(weight, mean)

    def expected_run_s(self, spec: user_api.JobSpec) -> float:
        """Expected seconds of one task; a few finished tasks hardly change the user's estimate."""
        if spec.is_service:
            return self.horizon
        weight, mean = self.corrections.get(spec.job_class, NO_CORRECTION)
        return max(MIN_RUN_S, spec.estimate * math.exp(mean * weight / (weight + PRIOR_WEIGHT)))
