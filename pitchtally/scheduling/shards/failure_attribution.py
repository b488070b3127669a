"""Failure attribution: whether the machine or the job is at fault. Pure functions.

A faulty machine fails the tasks of any job; a job submitted with a mistake fails on any
machine, and a single failure doesn't tell one from the other. A job that has finished a task
anywhere, or runs one for longer than its failures took, is good. A job that failed on several
machines and has done neither is faulty, and its failures are no evidence against the machines.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum

# Distinct machines on which a job without any success fails before it counts as faulty.
FAULTY_JOB_MACHINES = 2
# Each of these makes a machine unhealthy: good jobs that failed there, failures of good jobs
# there, and jobs of unknown health that failed there.
UNHEALTHY_GOOD_JOBS = 2
UNHEALTHY_GOOD_FAILURES = 3
UNHEALTHY_UNKNOWN_JOBS = 3


class JobHealth(Enum):
    """What the failures and successes of a job so far say of it."""

    GOOD = "good"
    UNKNOWN = "unknown"
    FAULTY = "faulty"


def classify_job(
    done: bool,
    failed_on: int,
    longest_failed_run_s: float,
    running_for: Iterable[float],
    margin: float,
) -> JobHealth:
    """Classify a job.

    `done`: a task of it has finished; `failed_on`: the number of machines on which it failed;
    `longest_failed_run_s`: its longest failed run; `running_for`: seconds that each running
    task has run; `margin`: seconds by which these may be too large.
    """
    if done:
        return JobHealth.GOOD
    if not failed_on:
        return JobHealth.UNKNOWN
    if any(ran > 2 * longest_failed_run_s + margin for ran in running_for):
        return JobHealth.GOOD
    return JobHealth.FAULTY if failed_on >= FAULTY_JOB_MACHINES else JobHealth.UNKNOWN


def is_unhealthy(failures: Mapping[str, int], jobs: Mapping[str, JobHealth]) -> bool:
    """Whether a machine is at fault: `failures` there since a task last succeeded, by job."""
    good_failures = [n for id, n in failures.items() if jobs[id] is JobHealth.GOOD]
    unknown_jobs = sum(1 for id in failures if jobs[id] is JobHealth.UNKNOWN)
    return (
        len(good_failures) >= UNHEALTHY_GOOD_JOBS
        or sum(good_failures) >= UNHEALTHY_GOOD_FAILURES
        or unknown_jobs >= UNHEALTHY_UNKNOWN_JOBS
    )
