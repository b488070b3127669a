"""Expected run times of tasks."""

from __future__ import annotations

import json

from pitchtally.api.validation import parse_job
from pitchtally.config import policy
from pitchtally.scheduling.estimates import Estimates

from ..harness.services import service
from ..harness.simulation import settings, submission


def test_estimate_for_a_service_is_never_zero() -> None:
    """A service is submitted with `ripenS` 0; it must not count as a task of zero seconds.

    It would otherwise be smaller than any task, in queues and for scale out.
    """
    spec = parse_job(json.dumps(submission(service(1))).encode())
    default_policy = policy.parse("", settings("n0"))
    estimates = Estimates(default_policy.start_within)
    estimates.record_run_time(spec, 0.5)  # the end of a replica gives no run time
    assert estimates.expected_run_s(spec) == default_policy.start_within
