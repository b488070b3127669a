"""Writes which shard each task of a job is assigned to; resolves writes of unknown outcome."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

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

log = logging.getLogger(__name__)

# Ranges that a job record may hold: the record has to fit into one value of the state store.
MAX_RANGES_PER_JOB = 40
# Pause between two attempts to resolve an unknown outcome.
RETRY_INTERVAL_S = 0.3


def _same_assignment(job: Job, before: JobRecord) -> bool:
    """Return whether a job's record assigns its tasks to shards as `before` does."""
    after = job.record
    return (after.stage, after.ranges, after.zone, after.attempt, after.zone_caps) == (
        before.stage,
        before.ranges,
        before.zone,
        before.attempt,
        before.zone_caps,
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
        preconditions: dict[str, int],
        ranges: list[TaskRange],
        *,
        zone: str | UnsetType | None = UNSET,
        attempt: int | UnsetType = UNSET,
        zone_caps: list[ZoneCap] | UnsetType = UNSET,
    ) -> bool:
        """Write which shard each task of a job is assigned to; return whether it was committed.

        Returns False if a precondition failed or if the record doesn't fit into a stored value.
        `zone`, `attempt` and `zone_caps` constrain jobs whose tasks constrain one another; those
        not given keep their present value. Raises StoreUnavailable, OutcomeUnknown included.
        """
        constraints: dict[str, object] = {
            name: value
            for name, value in (("zone", zone), ("attempt", attempt), ("zone_caps", zone_caps))
            if value is not UNSET
        }
        preconditions = {**preconditions, **self._tokens_of_led_shards(ranges)}
        # A migration only improves a placement, while no task starts without an assignment.
        priority = (
            Priority.PROGRESS
            if is_fully_assigned(job) and not constraints
            else Priority.SUBMISSIONS
        )
        value = await self._encode_in_limits(job, priority, ranges=ranges, **constraints)
        if value is None:
            return False
        key = keys.job(job.id)
        try:
            return await self.commits.commit(
                {key: job.version, **preconditions}, [Write(key, value)], priority=priority
            )
        except InvalidTransaction as error:
            log.info("store rejected task ranges job=%s cause=%s", job.id, error)
            return False

    def _tokens_of_led_shards(self, ranges: Iterable[TaskRange]) -> dict[str, int]:
        """Return, as preconditions, the fencing tokens of those shards that this controller leads.

        The replica applies this controller's own writes before the watch delivers them. If
        another controller had acquired one of these shards in the meantime, both controllers would
        start the tasks that are assigned to it.
        """
        tokens: dict[str, int] = {}
        for _, _, shard in ranges:
            token = self.membership.token(shard)
            if token is not None:
                tokens[keys.shard(shard)] = token
        return tokens

    async def _encode_in_limits(
        self, job: Job, priority: Priority, **changes: object
    ) -> bytes | None:
        """Return the changed record, encoded, after converting the job's layout if necessary.

        Returns None if the record is too large in any layout, or if the assignment changed
        during the conversion; the tasks then stay where they are.
        """
        value = self.encode_record_with(job, **changes)
        if self.layout.needs_conversion(job) or not self.layout.record_fits(value):
            before = job.record
            converted = await self.migration.convert(job, priority)
            if not converted or not _same_assignment(job, before):
                return None
            value = self.encode_record_with(job, **changes)
        return value if self.layout.record_fits(value) else None

    def encode_record_with(self, job: Job, **changes: object) -> bytes:
        """Return a job's present record with these fields replaced, encoded."""
        record: JobRecord = msgspec.structs.replace(job.current_record(), **changes)
        return self.layout.encode_record(job, record)

    async def resolve_outcome(
        self,
        error: StoreUnavailable,
        key: str,
        versions: dict[str, int],
        shard: int,
        token: int,
        present_value: Callable[[], bytes],
    ) -> None:
        """Return once a commit that failed with `error` can't take effect any more.

        A read can't show that: the store may execute a transaction seconds after the client's
        request timed out. So the key's present value, which `present_value` returns encoded, is
        written under the same preconditions. Whichever of the two commits is executed first, the
        preconditions of the other then fail. Also returns when this controller loses the shard,
        since resolving the outcome is then left to the shard's next leader.

        `versions` are the versions of the key, and of other keys, that the commit expected.
        """
        if not isinstance(error, OutcomeUnknown):
            return
        while self.membership.token(shard) == token and all(
            self.replica.version(name) == version for name, version in versions.items()
        ):
            try:
                await self.commits.commit(
                    {**versions, keys.shard(shard): token},
                    [Write(key, present_value())],
                    priority=Priority.SUBMISSIONS,
                )
            except StoreUnavailable as retry_error:
                log.debug("commit outcome still unknown key=%s: %s", key, retry_error)
                await trio.sleep(RETRY_INTERVAL_S)

    async def resolve_job_outcome(
        self, error: StoreUnavailable, job: Job, version: int, shard: int, token: int
    ) -> None:
        """Call `resolve_outcome` for a job's record."""
        key = keys.job(job.id)
        await self.resolve_outcome(
            error, key, {key: version}, shard, token, lambda: self.encode_record_with(job)
        )
