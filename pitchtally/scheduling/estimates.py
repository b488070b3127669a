"""How long tasks take: what leaders say, corrected class by class by runs that finished.

A service's replica has no length: it holds its place until the job is cancelled. For the
order of queues it counts as `horizon` seconds, the span that planning looks ahead, so w is
its replicas times that span. What runs already is no work in a queue at all but capacity
that its machines have lost (`survey.Survey`).
"""

from __future__ import annotations

import math

from ..protocol import user_api


class Estimates:
    """Estimates are wrong per class: a running mean of how wrong, from finished runs."""

    def __init__(self, horizon: float) -> None:
        """`horizon`: seconds for which a service's replica counts."""
        self.horizon = horizon
        self.logs: dict[str, tuple[float, float]] = {}  # class -> (weight, mean of log ratio)

    def learn(self, spec: user_api.JobSpec, ran: float) -> None:
        """Take in how long a task of the job really ran."""
        if ran <= 0 or spec.estimate <= 0 or spec.is_service:
            return
        weight, mean = self.logs.get(spec.job_class, (0.0, 0.0))
        ratio = max(-3.0, min(3.0, math.log(max(ran, 0.1) / spec.estimate)))
        weight = min(weight + 1, 200.0)
        self.logs[spec.job_class] = (weight, mean + (ratio - mean) / weight)

    def task(self, spec: user_api.JobSpec) -> float:
        """Expected seconds of one task; a few runs barely move the leader's estimate."""
        if spec.is_service:
            return self.horizon
        weight, mean = self.logs.get(spec.job_class, (0.0, 0.0))
        return max(0.1, spec.estimate * math.exp(mean * weight / (weight + 5)))
