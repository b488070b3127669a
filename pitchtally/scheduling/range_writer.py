"""Writes which shard gets which tasks of a job, and resolves writes of unknown outcome."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec
import trio
from msgspec import UNSET, UnsetType

from ..jobs.commits import JobCommits
from ..jobs.index import Job
from ..jobs.job_record import JobRecord, TaskRange, ZoneCap
from ..jobs.migration import JobMigration
from ..membership.membership import Membership
from ..state_store import keys
from ..state_store.client import Write
from ..state_store.errors import InvalidTransaction, OutcomeUnknown, StoreUnavailable
from ..state_store.rate_limits import Priority
from ..state_store.replica import Replica
from .capacity import is_fully_assigned

log = logging.getLogger("range_writer")

# Pieces that a job's record may fall into: it has to fit into one value of the store.
MOST_RANGES = 40
# Seconds between two tries to resolve an unknown outcome.
RETRY_INTERVAL_S = 0.3


def _same_plan(job: Job, before: JobRecord) -> bool:
    """Whether a job's record says the same as before of who gets which tasks."""
    now = job.record
    return (now.stage, now.ranges, now.zone, now.attempt, now.caps) == (
        before.stage,
        before.ranges,
        before.zone,
        before.attempt,
        before.caps,
    )


class RangeWriter:
    """Compare-and-swap writes of the ranges in job records."""

    def __init__(
        self,
        commits: JobCommits,
        membership: Membership,
        replica: Replica,
        migration: JobMigration,
    ) -> None:
        self.commits = commits
        self.membership = membership
        self.replica = replica
        self.migration = migration
        self.layout = migration.layout

    async def write_ranges(
        self,
        job: Job,
        guard: dict[str, int],
        ranges: list[TaskRange],
        *,
        zone: str | UnsetType | None = UNSET,
        attempt: int | UnsetType = UNSET,
        caps: list[ZoneCap] | UnsetType = UNSET,
    ) -> bool:
        """Write who gets which tasks of a job; False if a condition failed.

        `zone`, `attempt` and `caps` bind jobs whose tasks constrain one another; those left
        out stay as they are. Raises StoreUnavailable, OutcomeUnknown included.
        """
        key = keys.job(job.id)
        bindings: dict[str, object] = {
            name: value
            for name, value in (("zone", zone), ("attempt", attempt), ("caps", caps))
            if value is not UNSET
        }
        # Our copy applies our own writes ahead of the watch: a shard of ours that was
        # taken over meanwhile must not be given tasks that its new leader starts too.
        for _, _, shard in ranges:
            token = self.membership.token(shard)
            if token is not None:
                guard[keys.shard(shard)] = token
        # Moves are for the better, assignments for going at all.
        priority = (
            Priority.PROGRESS if is_fully_assigned(job) and not bindings else Priority.SUBMISSIONS
        )
        value = self.record_with(job, ranges=ranges, **bindings)
        if self.layout.needs_conversion(job) or not self.layout.record_fits(value):
            before = job.record
            if not await self.migration.convert(job, priority) or not _same_plan(job, before):
                return False  # what was decided on may have changed meanwhile
            value = self.record_with(job, ranges=ranges, **bindings)
        if not self.layout.record_fits(value):
            return False  # too many pieces for a record: the tasks stay where they are
        try:
            return await self.commits.commit(
                {key: job.version, **guard}, [Write(key, value)], priority=priority
            )
        except InvalidTransaction as error:
            log.info("ranges refused job=%s cause=%s", job.id, error)
            return False

    def record_with(self, job: Job, **changes: object) -> bytes:
        """A job's record as it is now, but for these fields, encoded."""
        record: JobRecord = msgspec.structs.replace(job.current_record(), **changes)
        return self.layout.encode_record(job, record)

    async def resolve_outcome(
        self,
        error: StoreUnavailable,
        key: str,
        versions: dict[str, int],
        shard: int,
        token: int,
        value: Callable[[], bytes],
    ) -> None:
        """After a commit without an answer, nothing goes on until it can't happen any more.

        To read the store isn't enough: a transaction may be carried out seconds after its
        answer was given up, and what was kept back meanwhile would have gone on by then.
        So the key is written as it stands. Whichever of the two comes first, the other's
        condition fails; a shard that was lost meanwhile is its new leader's affair.
        `versions`: those of the key, and of others, that the transaction rested on.
        """
        if not isinstance(error, OutcomeUnknown):
            return
        while self.membership.token(shard) == token and all(
            self.replica.version(name) == version for name, version in versions.items()
        ):
            try:
                await self.commits.commit(
                    {**versions, keys.shard(shard): token},
                    [Write(key, value())],
                    priority=Priority.SUBMISSIONS,
                )
            except StoreUnavailable as again:
                log.debug("settling %s: %s", key, again)
                await trio.sleep(RETRY_INTERVAL_S)

    async def resolve_job_outcome(
        self, error: StoreUnavailable, job: Job, version: int, shard: int, token: int
    ) -> None:
        """`resolve_outcome` for a job's record."""
        key = keys.job(job.id)
        await self.resolve_outcome(
            error, key, {key: version}, shard, token, lambda: self.record_with(job)
        )
