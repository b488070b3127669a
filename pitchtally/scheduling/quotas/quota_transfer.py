"""Moves shares of a team's limit to the shards that can use them."""

from __future__ import annotations

import math

from ...config.settings import Team
from ...jobs.resources import Resources, count_fitting, fits, limited_request
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
from .quotas import Quotas


class QuotaTransfer:
    """Gives what a shard doesn't use of a team's limit to a shard that lacks it."""

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

    async def move_shares(self) -> None:
        """Give a shard with too small a share what this shard neither uses nor waits for.

        One commit lowers our share and raises the other's; we count as lowered from
        before it is sent until the store is known to say otherwise.
        """
        for shard, work in list(self.shards.items()):
            token = self.membership.token(shard)
            if not work.reconciled or token is None or shard not in self.statuses.newest:
                continue
            for team in self.quotas.known.values():
                if not self.quotas.limited(team.name) or (shard, team.name) in self.quotas.giving:
                    continue
                if self.shards.get(shard) is not work:
                    break  # lost while a share of it was being given away
                spare = self._spare(shard, work, team.name)
                for other in self.statuses.newest.values():
                    if other.shard == shard:
                        continue
                    short, least = self._short(other, team.name)
                    give = (min(spare[0], short[0]), min(spare[1], short[1]))
                    waiting_for_limit = self.quotas.waiting_for_limit.get(team.name)
                    if waiting_for_limit is not None:
                        if waiting_for_limit[1] != other.shard:
                            continue  # first the gang that waits for its team's limit
                    elif not fits(Resources(*least, 0.0), Resources(*give, 0.0)):
                        continue  # not enough to start even one task there
                    if give[0] > 1e-6 or give[1] > 1e-6:
                        await self._give_share(shard, token, other.shard, team, give)
                        break

    def _spare(self, shard: int, work: ShardState, team: str) -> tuple[float, float]:
        share, used = self.quotas.share(shard, team), self.quotas.use(shard, team)
        cpus, gpus = share[0] - used[0], share[1] - used[1]
        for allocation in work.allocations.values():
            spec = allocation.job.spec
            if spec.team == team and allocation.pending.count and not self.quotas.held_back(spec):
                count = self._startable(self.statuses.newest[shard], spec, allocation.pending.count)
                # What is too little for one more task here may complete one elsewhere.
                count = min(count, count_fitting(limited_request(spec), Resources(cpus, gpus, 0.0)))
                cpus -= spec.cpus * count
                gpus -= spec.gpus * count
        return (
            cpus if 0 < cpus < math.inf else 0.0,
            gpus if 0 < gpus < math.inf else 0.0,
        )

    def _startable(self, status: ShardStatus, spec: user_api.JobSpec, waiting: int) -> int:
        """How many waiting tasks machines there have room for, by preemption too.

        Share that goes to tasks without room would lie idle there while other shards
        have room and no share. What the lowest rank holds counts as room: preemption waits
        for the share, so the share must not wait for preemption.
        """
        yielding = spec.rank != user_api.RANKS[-1]
        return min(
            waiting,
            self.statuses.free_capacity(status, spec, by_preemption=yielding),
        )

    def _short(
        self, status: ShardStatus, team: str
    ) -> tuple[tuple[float, float], tuple[float, float]]:
        """What a shard's waiting tasks of a team lack of share; and for one task, the least."""
        share, used = self.quotas.share(status.shard, team), status.usage.get(team, (0.0, 0.0))
        left = (share[0] - used[0], share[1] - used[1])
        cpus = gpus = 0.0
        least = (math.inf, math.inf)
        for id, count in status.pending.items():
            job = self.job_index.open.get(id)
            if job is None or job.spec.team != team:
                continue
            spec = job.spec
            count = self._startable(status, spec, count)
            if not count:
                continue
            cpus, gpus = cpus + spec.cpus * count, gpus + spec.gpus * count
            at_once = spec.tasks if spec.kind == user_api.GANG else 1
            lack = (
                max(0.0, spec.cpus * at_once - left[0]),
                max(0.0, spec.gpus * at_once - left[1]),
            )
            least = min(least, lack)
        if least[0] == math.inf:
            return (0.0, 0.0), (0.0, 0.0)
        return (max(0.0, cpus - left[0]), max(0.0, gpus - left[1])), least

    async def _give_share(
        self, shard: int, token: int, to: int, team: Team, give: tuple[float, float]
    ) -> None:
        rows = (
            self.quotas.shares.of(team.name)
            or [(team.cpus_max / self.shard_count, team.gpus_max / self.shard_count)]
            * self.shard_count
        )
        moved = list(rows)
        moved[shard] = (rows[shard][0] - give[0], rows[shard][1] - give[1])
        moved[to] = (rows[to][0] + give[0], rows[to][1] + give[1])
        change = self.quotas.shares.change(team.name, moved)
        versions = self.quotas.shares.versions(team.name)
        conditions = {keys.shard(shard): token, **versions}
        self.quotas.giving[(shard, team.name)] = give
        try:
            await self.commits.commit(conditions, [change], priority=Priority.SUBMISSIONS)
        except StoreUnavailable as error:
            await self.range_writer.resolve_outcome(
                error,
                change.key,
                versions,
                shard,
                token,
                lambda: self.quotas.shares.unchanged(change.key, team.name, rows),
            )
        finally:
            self.quotas.giving.pop((shard, team.name), None)
