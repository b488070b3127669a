"""When agents' leases expire, and how long one may be renewed without news of cancellations.

A cancellation is confirmed to its user at c, and the job's tasks must be gone by
c + `cancel_s`. A leader that has not heard of it can have verified all cancellations up to c at
the latest, so it renews leases until c + `max_evidence_age` at most; and an agent counts its
lease from when it *sent* the heartbeat, which was no later. So every task is gone by
c + `max_evidence_age` + `lease_s`, plus clock drift and the agent's own timer:
`max_freshness_bound` is the largest `max_evidence_age` that keeps this within `cancel_s`.
"""

from __future__ import annotations

from .settings import AgentTimes

# Steady clocks drift by up to 0.05 %, each of two; the rest covers timers that fire late.
DRIFT = 1.002

# Checks of its lease that an agent makes per heartbeat.
_CHECKS_PER_HEARTBEAT = 4


def timer(times: AgentTimes) -> float:
    """Seconds that an agent may take to notice that its lease has expired."""
    return times.report_s / _CHECKS_PER_HEARTBEAT


def lease_expiry(answered_at: float, times: AgentTimes) -> float:
    """When an agent's lease has expired for certain, if we last answered it at `answered_at`."""
    return answered_at + times.lease_s * DRIFT + timer(times)


def max_freshness_bound(times: AgentTimes) -> float:
    """The longest, in seconds, that a leader may renew leases without news of cancellations."""
    return (times.cancel_s - timer(times)) / DRIFT - times.lease_s * DRIFT
