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
    has_finished_task: bool,
    failed_machines: int,
    longest_failed_run_s: float,
    running_s: Iterable[float],
    margin_s: float,
) -> JobHealth:
    """Classify a job.

    `has_finished_task`: a task of it has finished; `failed_machines`: the number of machines on which it failed;
    `longest_failed_run_s`: its longest failed run; `running_s`: seconds that each running
    task has run; `margin_s`: seconds by which these may be too large.
    """
    if has_finished_task:
        return JobHealth.GOOD
    if not failed_machines:
        return JobHealth.UNKNOWN
    if any(run_s > 2 * longest_failed_run_s + margin_s for run_s in running_s):
        return JobHealth.GOOD
    return JobHealth.FAULTY if failed_machines >= FAULTY_JOB_MACHINES else JobHealth.UNKNOWN


def is_unhealthy(failures: Mapping[str, int], health: Mapping[str, JobHealth]) -> bool:
    """Whether a machine is at fault: `failures` there since a task last succeeded, by job."""
    good_failures = [count for id, count in failures.items() if health[id] is JobHealth.GOOD]
    unknown_jobs = sum(1 for id in failures if health[id] is JobHealth.UNKNOWN)
    return (
        len(good_failures) >= UNHEALTHY_GOOD_JOBS
        or sum(good_failures) >= UNHEALTHY_GOOD_FAILURES
        or unknown_jobs >= UNHEALTHY_UNKNOWN_JOBS
    )
