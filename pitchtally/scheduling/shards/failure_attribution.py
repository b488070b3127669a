"""A task failed: the machine's fault or the job's? Pure functions of what else they did.

A faulty machine fails the tasks of any job; a job submitted with a mistake fails on any
machine. One failure tells neither from the other. What tells is the rest of what is
known: a job that ended a task somewhere, or has one running for longer than its failures
took, is a good one; a job that failed on several machines and has neither is at fault,
and then its failures say nothing about the machines.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum

# Distinct machines on which a job without any success has to fail.
MACHINES = 2
# Jobs that fail on a machine: of good ones, and of those not known yet.
GOOD_JOBS = 2
GOOD_FAILURES = 3
UNKNOWN_JOBS = 3


class Standing(Enum):
    """What a job's failures so far say of it."""

    GOOD = "good"
    UNKNOWN = "unknown"
    FAULTY = "faulty"


def standing(
    done: bool, failed_on: int, failed_after: float, running_for: Iterable[float], margin: float
) -> Standing:
    """Of a job: whether a task of it is done, on how many machines it failed, after how long
    at most, and how long each task that runs has been running."""
    if done:
        return Standing.GOOD
    if not failed_on:
        return Standing.UNKNOWN
    if any(ran > 2 * failed_after + margin for ran in running_for):
        return Standing.GOOD
    return Standing.FAULTY if failed_on >= MACHINES else Standing.UNKNOWN


def is_unhealthy(failures: Mapping[str, int], jobs: Mapping[str, Standing]) -> bool:
    """Of a machine: the failures there since a task was last done, by job."""
    good = [n for id, n in failures.items() if jobs[id] is Standing.GOOD]
    unknown = sum(1 for id in failures if jobs[id] is Standing.UNKNOWN)
    return len(good) >= GOOD_JOBS or sum(good) >= GOOD_FAILURES or unknown >= UNKNOWN_JOBS
