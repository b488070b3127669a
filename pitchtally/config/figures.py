"""The figures that operators may set in a policy: default, range and meaning of each.

Every figure that the platform leaves open is named here. Its default is an expression of the
policy language (`expression`), so that it follows the settings of the deployment.
"""

from __future__ import annotations

from typing import NamedTuple


class Figure(NamedTuple):
    """One figure of the policy."""

    default: str  # an expression
    lowest: float
    highest: float
    doc: str


FIGURES: dict[str, Figure] = {
    "period": Figure(
        "5", 0.1, 600, "seconds between availability matrices, and between progress writes"
    ),
    "bound": Figure("2", 1, 1000, "B: keep a job if its stretch is at most B times the lowest"),
    "stretch_samples": Figure("16", 2, 64, "samples of S in a matrix"),
    "size_samples": Figure("6", 1, 32, "samples of w in a matrix"),
    "task_samples": Figure("8", 1, 32, "samples of a in a matrix"),
    "session_ttl": Figure(
        "workers.lease_s / 4", 0.1, 600, "seconds that a controller's session lease lasts"
    ),
    "heartbeat_interval": Figure(
        "workers.report_s / 3", 0.05, 60, "seconds between heartbeats to each peer"
    ),
    "call_timeout": Figure(
        "workers.lease_s / 10", 0.05, 60, "timeout of calls to the state store and to peers"
    ),
    "cloud_timeout": Figure("workers.lease_s / 3", 0.1, 120, "timeout of calls to the cloud"),
    "watch_share": Figure("0.25", 0.01, 0.9, "share of the state requests that watches may use"),
    "admit_wait": Figure(
        "0.75", 0, 4, "longest wait for a write permit before a submission gets 503"
    ),
    "silence": Figure(
        "workers.lease_s * 1.25", 0.1, 3600, "heartbeat timeout after which a machine is given up"
    ),
    "max_evidence_age": Figure(
        "(workers.cancel_s - workers.lease_s) * 0.6",
        0.1,
        3600,
        "freshness bound: a shard leader that may have missed the cancellations of so many"
        " seconds stops renewing agent leases",
    ),
    "hire_patience": Figure(
        "0.4",
        0.01,
        100,
        "scale out if pending work takes this share of the time that its objective leaves",
    ),
    "idle_release": Figure("15", 1, 36000, "an idle machine is terminated after so many seconds"),
    "defer_share": Figure(
        "0.05",
        0,
        1,
        "wait one agent heartbeat for a cheaper machine if that costs at most this share of slack",
    ),
    "ready_for": Figure(
        "workers.lease_s * 9",
        1,
        36000,
        "the peak of so many seconds is kept ready for classes that can't wait",
    ),
    "preempt_after": Figure(
        "workers.report_s / 2", 0, 600, "seconds to wait for capacity before preempting"
    ),
    "unhealthy_rest": Figure(
        "workers.lease_s * 3",
        1,
        36000,
        "seconds in quarantine for a machine that fails several jobs",
    ),
    "start_within": Figure(
        "240", 1, 36000, "seconds that users wait for a start: near its end a job goes first"
    ),
    "list_every": Figure("cloud.list_lag_s / 2", 0.1, 600, "seconds between machine lists"),
}

# Names that figures had in earlier versions, which operators' files may still hold.
EARLIER_NAMES = {
    "beat": "heartbeat_interval",
    "blind": "max_evidence_age",
    "sick_rest": "unhealthy_rest",
}


def current_name(name: str) -> str:
    """Return the name that a figure has today."""
    return EARLIER_NAMES.get(name, name)
