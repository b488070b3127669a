"""Attribution of task failures to the job or the machine. Pure functions.

Tasks of any job fail on a faulty machine, and tasks of a faulty job fail on any machine, so a
single failure can't be attributed. A job that has finished a task anywhere, or has run one for
longer than its failed runs lasted, is good. A job that failed on several machines and has done
neither is faulty, and its failures don't count against the machines.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum

# Number of distinct machines on which a job without any success must fail to be faulty.
FAULTY_JOB_MACHINES = 2
# A machine is unhealthy once any of these is reached: the number of good jobs that failed
# there, of failures of good jobs there, and of jobs of unknown health that failed there.
UNHEALTHY_GOOD_JOBS = 2
UNHEALTHY_GOOD_FAILURES = 3
UNHEALTHY_UNKNOWN_JOBS = 3


class JobHealth(Enum):
    """Classification of a job by its failures and successes so far."""

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
    """Classify a job by its failures and successes.

    `has_finished_task`: whether a task of the job has finished; `failed_machines`: the number
    of machines on which tasks failed; `longest_failed_run_s`: its longest failed run;
    `running_s`: for how long each running task has run; `margin_s`: maximum error of
    `running_s`, which may be too large by that much.
    """
    if has_finished_task:
        return JobHealth.GOOD
    if not failed_machines:
        return JobHealth.UNKNOWN
    if any(run_s > 2 * longest_failed_run_s + margin_s for run_s in running_s):
        return JobHealth.GOOD
    return JobHealth.FAULTY if failed_machines >= FAULTY_JOB_MACHINES else JobHealth.UNKNOWN


def is_unhealthy(failures: Mapping[str, int], health: Mapping[str, JobHealth]) -> bool:
    """Return whether a machine is at fault.

    `failures`: job ID -> failures on the machine since a task last succeeded there; `health`: job
    ID -> health of the job.
    """
    good_failures = [count for id, count in failures.items() if health[id] is JobHealth.GOOD]
    unknown_jobs = sum(1 for id in failures if health[id] is JobHealth.UNKNOWN)
    return (
        len(good_failures) >= UNHEALTHY_GOOD_JOBS
        or sum(good_failures) >= UNHEALTHY_GOOD_FAILURES
        or unknown_jobs >= UNHEALTHY_UNKNOWN_JOBS
    )
