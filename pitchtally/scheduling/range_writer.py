"""Writes which shard gets which tasks of a job, and resolves writes of unknown outcome."""

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

# Ranges that a job's record may hold: it has to fit into one value of the store.
MAX_RANGES = 40
# Seconds between two tries to resolve an unknown outcome.
RETRY_INTERVAL_S = 0.3


def _same_assignment(job: Job, before: JobRecord) -> bool:
    """Whether a job's record says the same as before of which shard has which tasks."""
    now = job.record
    return (now.stage, now.ranges, now.zone, now.attempt, now.zone_caps) == (
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
        """Write which shard has which tasks of a job; False if a precondition failed.

        `zone`, `attempt` and `zone_caps` bind jobs whose tasks constrain one another; those left
        out stay as they are. Raises StoreUnavailable, OutcomeUnknown included.
        """
        bindings: dict[str, object] = {
            name: value
            for name, value in (("zone", zone), ("attempt", attempt), ("zone_caps", zone_caps))
            if value is not UNSET
        }
        preconditions = {**preconditions, **self._tokens_of_led_shards(ranges)}
        # Migrations improve a placement; assignments are what lets tasks start at all.
        priority = (
            Priority.PROGRESS if is_fully_assigned(job) and not bindings else Priority.SUBMISSIONS
        )
        value = await self._encode_in_limits(job, priority, ranges=ranges, **bindings)
        if value is None:
            return False
        key = keys.job(job.id)
        try:
            return await self.commits.commit(
                {key: job.version, **preconditions}, [Write(key, value)], priority=priority
            )
        except InvalidTransaction as error:
            log.info("ranges refused job=%s cause=%s", job.id, error)
            return False

    def _tokens_of_led_shards(self, ranges: Iterable[TaskRange]) -> dict[str, int]:
        """Preconditions that this controller still leads the shards that it leads now.

        The replica applies our own writes ahead of the watch. If another controller acquired
        one of these shards meanwhile, both would start the tasks that are assigned to it.
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
        """The changed record, converted to a layout that holds it if need be.

        None if no layout holds it, or if the assignment changed during the conversion: the
        tasks then stay where they are.
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
        """Return once a commit that failed with `error` can't take effect any more.

        A read doesn't tell: the store may carry out a transaction seconds after the client
        gave up on its answer. So the key's present value (`value`) is written under the same
        preconditions. Whichever of the two commits comes first, the other's compare fails.
        Also returns when the shard is lost, since the outcome is then up to its next leader.

        `versions` are the versions of the key, and of others, that the commit expected.
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
            except StoreUnavailable as retry_error:
                log.debug("outcome unresolved key=%s: %s", key, retry_error)
                await trio.sleep(RETRY_INTERVAL_S)

    async def resolve_job_outcome(
        self, error: StoreUnavailable, job: Job, version: int, shard: int, token: int
    ) -> None:
        """`resolve_outcome` for a job's record."""
        key = keys.job(job.id)
        await self.resolve_outcome(
            error, key, {key: version}, shard, token, lambda: self.encode_record_with(job)
        )
