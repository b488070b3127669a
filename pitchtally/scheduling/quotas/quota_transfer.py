"""Transfers shares of a team's limit to the shards that can use them."""

from __future__ import annotations

import math
from typing import NamedTuple

from ...config.settings import Team
from ...formats.quota_shares import ShardQuotaShare
from ...jobs.resources import TOLERANCE, Resources, count_fitting, fits, limited_request
from ...membership.membership import Membership
from ...membership.messages import ShardStatus
from ...protocol import user_api
from ...state_store import keys
from ...state_store.errors import StoreUnavailable
from ...state_store.rate_limits import Priority
from ..context import SchedulingContext
from ..range_writer import RangeWriter
from ..shards.allocations import ShardState
from ..shards.shard_statuses import ShardStatuses
from .quotas import NO_SHARE, Quotas


class _Shortage(NamedTuple):
    """Quota that a shard's pending tasks of a team need beyond the unused part of its share."""

    total: ShardQuotaShare  # for all pending tasks that the shard has capacity for
    smallest: ShardQuotaShare  # for the single task, or gang, with the smallest need


class QuotaTransfer:
    """Transfers unused quota of a team from one shard to another that is short of it."""

    def __init__(
        self,
        context: SchedulingContext,
        membership: Membership,
        shards: dict[int, ShardState],
        statuses: ShardStatuses,
        quotas: Quotas,
        range_writer: RangeWriter,
    ) -> None:
        self.job_index = context.job_index
        self.commits = context.commits
        self.shard_count = context.shard_count
        self.membership = membership
        self.shards = shards
        self.statuses = statuses
        self.quotas = quotas
        self.range_writer = range_writer

    async def transfer(self) -> None:
        """Transfer the quota that led shards neither use nor have pending tasks for.

        One commit lowers the share of a led shard and raises the share of the target. The
        source's share counts as lowered from before the commit is sent until its outcome is
        known.
        """
        for shard, state in list(self.shards.items()):
            token = self.membership.token(shard)
            if not state.reconciled or token is None or shard not in self.statuses.newest:
                continue
            for team in self.quotas.teams.values():
                in_flight = (shard, team.name) in self.quotas.transfers_in_flight
                if not self.quotas.has_limit(team.name) or in_flight:
                    continue
                if self.shards.get(shard) is not state:
                    break  # the shard was lost during a transfer
                await self._transfer_spare(shard, state, token, team)

    async def _transfer_spare(self, shard: int, state: ShardState, token: int, team: Team) -> None:
        """Transfer a shard's spare quota to the first shard that can use it."""
        spare = self._spare(shard, state, team.name)
        for target in self.statuses.newest.values():
            if target.shard == shard:
                continue
            shortage = self._shortage(target, team.name)
            amount = ShardQuotaShare(
                min(spare.cpus, shortage.total.cpus), min(spare.gpus, shortage.total.gpus)
            )
            gang = self.quotas.short_of_quota.get(team.name)
            if gang is not None:
                if gang.shard != target.shard:
                    continue  # the gang that is short of quota takes precedence
            elif not fits(Resources(*shortage.smallest, 0.0), Resources(*amount, 0.0)):
                continue  # not enough to start even one task there
            if amount.cpus > TOLERANCE or amount.gpus > TOLERANCE:
                await self._commit_transfer(shard, token, target.shard, team, amount)
                return

    def _spare(self, shard: int, state: ShardState, team: str) -> ShardQuotaShare:
        """Return the part of a shard's share that neither running nor startable tasks need."""
        share, used = self.quotas.share(shard, team), self.quotas.use(shard, team)
        cpus, gpus = share.cpus - used.cpus, share.gpus - used.gpus
        for allocation in state.allocations.values():
            spec = allocation.job.spec
            if (
                spec.team == team
                and allocation.pending.count
                and not self.quotas.yields_to_gang(spec)
            ):
                count = self._startable(self.statuses.newest[shard], spec, allocation.pending.count)
                # A remainder too small for another task here may complete the quota for one in
                # another shard.
                count = min(count, count_fitting(limited_request(spec), Resources(cpus, gpus, 0.0)))
                cpus -= spec.cpus * count
                gpus -= spec.gpus * count
        return ShardQuotaShare(
            cpus if 0 < cpus < math.inf else 0.0,
            gpus if 0 < gpus < math.inf else 0.0,
        )

    def _startable(self, status: ShardStatus, spec: user_api.JobSpec, pending: int) -> int:
        """Return how many pending tasks fit on a shard's machines, including by preemption.

        Quota transferred for tasks without capacity would stay unused while other shards have
        capacity and no quota. Resources used by the lowest rank count as capacity: preemption
        waits for quota, so a transfer that waited for preemption would be a deadlock.
        """
        by_preemption = spec.rank != user_api.RANKS[-1]
        return min(pending, self.statuses.free_capacity(status, spec, by_preemption=by_preemption))

    def _shortage(self, status: ShardStatus, team: str) -> _Shortage:
        """Return the quota that a shard lacks for a team; zero if no pending task can start."""
        share, used = self.quotas.share(status.shard, team), self.quotas.reported_use(status, team)
        unused = ShardQuotaShare(share.cpus - used.cpus, share.gpus - used.gpus)
        cpus = gpus = 0.0
        smallest = ShardQuotaShare(math.inf, math.inf)
        for id, count in status.pending.items():
            job = self.job_index.open.get(id)
            if job is None or job.spec.team != team:
                continue
            spec = job.spec
            count = self._startable(status, spec, count)
            if not count:
                continue
            cpus, gpus = cpus + spec.cpus * count, gpus + spec.gpus * count
            tasks_at_once = spec.tasks if spec.kind == user_api.GANG else 1
            smallest = min(
                smallest, _lacking(spec.cpus * tasks_at_once, spec.gpus * tasks_at_once, unused)
            )
        if smallest.cpus == math.inf:
            return _Shortage(NO_SHARE, NO_SHARE)
        return _Shortage(_lacking(cpus, gpus, unused), smallest)

    async def _commit_transfer(
        self, shard: int, token: int, target: int, team: Team, amount: ShardQuotaShare
    ) -> None:
        equal_share = ShardQuotaShare(
            team.cpus_max / self.shard_count, team.gpus_max / self.shard_count
        )
        shares = self.quotas.shares.of(team.name) or [equal_share] * self.shard_count
        new_shares = list(shares)
        new_shares[shard] = ShardQuotaShare(
            shares[shard].cpus - amount.cpus, shares[shard].gpus - amount.gpus
        )
        new_shares[target] = ShardQuotaShare(
            shares[target].cpus + amount.cpus, shares[target].gpus + amount.gpus
        )
        change = self.quotas.shares.change(team.name, new_shares)
        versions = self.quotas.shares.versions(team.name)
        preconditions = {keys.shard(shard): token, **versions}
        self.quotas.transfers_in_flight[(shard, team.name)] = amount
        try:
            await self.commits.commit(preconditions, [change], priority=Priority.SUBMISSIONS)
        except StoreUnavailable as error:
            await self.range_writer.resolve_outcome(
                error,
                change.key,
                versions,
                shard,
                token,
                lambda: self.quotas.shares.unchanged(change.key, team.name, shares),
            )
        finally:
            self.quotas.transfers_in_flight.pop((shard, team.name), None)


def _lacking(cpus: float, gpus: float, unused: ShardQuotaShare) -> ShardQuotaShare:
    """Return by how much an amount exceeds the unused part of a share."""
    return ShardQuotaShare(max(0.0, cpus - unused.cpus), max(0.0, gpus - unused.gpus))
