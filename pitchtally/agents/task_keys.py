"""Task keys as agents know them: the job's identifier, a slash, the task's number."""

from __future__ import annotations

from collections.abc import Mapping

from ..jobs.index import Job


def job_id_of(key: str) -> str:
    """The identifier of the job that a task belongs to."""
    return key.rpartition("/")[0]


def belongs_to_closed_job(jobs: Mapping[str, Job], key: str) -> bool:
    """Whether a task's job is over; False for an unknown one: the replica may be behind."""
    job = jobs.get(job_id_of(key))
    return job is not None and not job.open
