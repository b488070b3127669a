"""The figures (numeric parameters) of the policy: default, range and meaning of each.

Every value that the platform doesn't prescribe is listed here. A default is an expression of the
policy language (`expression`), so it can depend on the settings of the deployment.
"""

from __future__ import annotations

from typing import NamedTuple


class Figure(NamedTuple):
    """One numeric parameter of the policy."""

    default: str  # expression of the policy language
    lowest: float
    highest: float
    doc: str


FIGURES: dict[str, Figure] = {
    "period": Figure(
        "5", 0.1, 600, "seconds between availability matrices, and between progress writes"
    ),
    "bound": Figure("2", 1, 1000, "B: keep a job if its stretch is at most B times the lowest"),
    "stretch_samples": Figure(
        "16", 2, 64, "sampled values of the stretch S in an availability matrix"
    ),
    "size_samples": Figure(
        "6", 1, 32, "sampled values of the job size w in an availability matrix"
    ),
    "task_samples": Figure(
        "8", 1, 32, "sampled values of the task length a in an availability matrix"
    ),
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
    "watch_share": Figure(
        "0.25", 0.01, 0.9, "share of the state store's request limit that watches may use"
    ),
    "admit_wait": Figure(
        "0.75", 0, 4, "longest wait for a write permit before a submission gets 503"
    ),
    "silence": Figure(
        "workers.lease_s * 1.25", 0.1, 3600, "heartbeat timeout after which a machine is terminated"
    ),
    "max_evidence_age": Figure(
        "(workers.cancel_s - workers.lease_s) * 0.6",
        0.1,
        3600,
        "freshness bound: a shard leader whose view of cancellations is older than this many"
        " seconds stops renewing agent leases",
    ),
    "hire_patience": Figure(
        "0.4",
        0.01,
        100,
        "scale out if pending tasks would take more than this share of their job's slack",
    ),
    "idle_release": Figure("15", 1, 36000, "seconds after which an idle machine is terminated"),
    "defer_share": Figure(
        "0.05",
        0,
        1,
        "wait one agent heartbeat for a cheaper machine if that takes at most this share of slack",
    ),
    "ready_for": Figure(
        "workers.lease_s * 9",
        1,
        36000,
        "seconds over which the peak demand is taken for standby machines of jobs with short slack",
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
        "240",
        1,
        36000,
        "seconds within which users expect a start: a job close to this limit goes first",
    ),
    "list_every": Figure(
        "cloud.list_lag_s / 2", 0.1, 600, "seconds between reads of the machine list"
    ),
}

# Names of figures in earlier versions, still accepted in policy files.
EARLIER_NAMES = {
    "beat": "heartbeat_interval",
    "blind": "max_evidence_age",
    "sick_rest": "unhealthy_rest",
}


def current_name(name: str) -> str:
    """Return the current name of a figure, given that or an earlier name."""
    return EARLIER_NAMES.get(name, name)
