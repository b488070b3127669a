"""How long agent leases and cancellations last at most: pure functions of the agents' times.

The deadlines of a cancellation are worked out here, and nowhere else. Once a cancellation is
confirmed at time c, the job's tasks must have ended by c + `cancel_s`. A shard leader that
hasn't learned of it can have verified all cancellations up to c at the latest, so it renews
agent leases until c + `max_evidence_age` at most; and an agent counts its lease from when it
*sent* the heartbeat, which was no later. So every task has ended by
c + `max_evidence_age` + `lease_s`, plus the drift of the clocks and the agent's own timer.
`max_freshness_bound` is the largest `max_evidence_age` that keeps this within `cancel_s`.

A shard leader that has learned of the cancellation needs no deadline of its own: every answer
that renews a lease commands a stop of each listed task whose job is over. An agent that gets
the answer ends the task; one that doesn't ends it with its lease.
"""

from __future__ import annotations

from .settings import AgentTimes

# Steady clocks drift by up to 0.05 %, each of two; the rest covers timers that fire late.
CLOCK_DRIFT_FACTOR = 1.002

# An agent looks at its lease so many times in each heartbeat interval.
LEASE_CHECKS_PER_HEARTBEAT = 4


def max_timer_delay(times: AgentTimes) -> float:
    """Return the longest time, in seconds, in which an agent notices that its lease expired."""
    return times.report_s / LEASE_CHECKS_PER_HEARTBEAT


def lease_expired_at(answered_at: float, times: AgentTimes) -> float:
    """Return when an agent's lease has certainly expired, if it was last answered then."""
    return answered_at + times.lease_s * CLOCK_DRIFT_FACTOR + max_timer_delay(times)


def max_freshness_bound(times: AgentTimes) -> float:
    """Return for how long, in seconds, leases may be renewed without news of cancellations."""
    return (
        times.cancel_s - max_timer_delay(times)
    ) / CLOCK_DRIFT_FACTOR - times.lease_s * CLOCK_DRIFT_FACTOR
