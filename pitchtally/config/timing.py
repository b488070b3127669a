"""Upper bounds for agent leases and cancellations, computed from the agents' times.

All deadlines of a cancellation are derived here. If a cancellation is confirmed at time c, the
job's tasks must have ended by c + `cancel_s`. A shard leader that hasn't received it can have
verified all cancellations up to time c at the latest, so it renews agent leases until
c + `max_evidence_age` at most. An agent counts its lease from the time at which it *sent* the
heartbeat, which is no later than the renewal. So every task has ended by
c + `max_evidence_age` + `lease_s`, plus clock drift and the delay of the agent's timer.
`max_freshness_bound` is the largest `max_evidence_age` that keeps this within `cancel_s`.

A shard leader that has received the cancellation needs no deadline: each of its responses that
renews a lease contains stop commands for all listed tasks whose job is over. An agent that
receives the response stops the task; otherwise the task ends when the agent's lease expires.
"""

from __future__ import annotations

from .settings import AgentTimes

# Two steady clocks drift by up to 0.05 % each; the rest covers timers that fire late.
CLOCK_DRIFT_FACTOR = 1.002

# How often an agent checks its lease in each heartbeat interval.
LEASE_CHECKS_PER_HEARTBEAT = 4


def max_timer_delay(times: AgentTimes) -> float:
    """Return the maximum delay, in seconds, until an agent detects that its lease has expired."""
    return times.report_s / LEASE_CHECKS_PER_HEARTBEAT


def lease_expired_at(renewed_at: float, times: AgentTimes) -> float:
    """Return the latest expiry time of an agent's lease that was last renewed at `renewed_at`."""
    return renewed_at + times.lease_s * CLOCK_DRIFT_FACTOR + max_timer_delay(times)


def max_freshness_bound(times: AgentTimes) -> float:
    """Return for how many seconds leases may be renewed without verified cancellations."""
    return (
        times.cancel_s - max_timer_delay(times)
    ) / CLOCK_DRIFT_FACTOR - times.lease_s * CLOCK_DRIFT_FACTOR
