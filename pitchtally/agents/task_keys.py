"""Task keys in agent messages: the job ID, a slash, and the task number."""

from __future__ import annotations

from collections.abc import Mapping

from ..jobs.index import Job


def job_id_of(key: str) -> str:
    """Return the ID of the job that a task belongs to."""
    return key.rpartition("/")[0]


def belongs_to_closed_job(jobs: Mapping[str, Job], key: str) -> bool:
    """Return whether a task's job has ended; False if it is unknown: the replica may lag."""
    job = jobs.get(job_id_of(key))
    return job is not None and not job.open
