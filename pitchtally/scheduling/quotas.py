"""Teams: guarantees, limits, and the durable shares of a limit that shards hold."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

import trio

from ..config.settings import Team
from ..formats.quota_shares import QuotaShares
from ..jobs.resources import Resources, count_fitting, fits, limited_request
from ..membership.messages import ShardStatus
from ..protocol import user_api
from ..state_store import keys
from ..state_store.errors import StoreUnavailable
from ..state_store.rate_limits import Priority
from .allocations import ShardState
from .capacity import RANK
from .component import SchedulerComponent

if TYPE_CHECKING:
    from .scheduler import Scheduler

log = logging.getLogger("teams")


class Quotas(SchedulerComponent):
    """Teams: guarantees, limits, and the durable shares of a limit that shards hold."""

    def __init__(self, scheduler: Scheduler) -> None:
        super().__init__(scheduler)
        self.known: dict[str, Team] = {t.name: t for t in self.settings.deployment.teams}
        self.shares = QuotaShares(scheduler.replica, scheduler.job_index.gate)
        self.giving: dict[tuple[int, str], tuple[float, float]] = {}
        self.waiting_for_limit: dict[
            str, tuple[float, int, str]
        ] = {}  # team -> gang short of share

    def share(self, shard: int, team: str) -> tuple[float, float]:
        """This shard's durable share of a team's limits; infinite without a limit."""
        settings = self.known.get(team)
        if settings is None:
            return (0.0, 0.0)
        rows = self.shares.of(team)
        if rows is not None:
            cpus, gpus = rows[shard]
        else:
            cpus, gpus = settings.cpus_max / self.count, settings.gpus_max / self.count
        less = self.giving.get((shard, team), (0.0, 0.0))
        return (
            cpus - less[0] if settings.cpus_max > 0 else math.inf,
            gpus - less[1] if settings.gpus_max > 0 else math.inf,
        )

    def limited(self, team: str) -> bool:
        """Whether a team has a limit; an unknown one counts as limited."""
        found = self.known.get(team)
        return found is None or found.cpus_max > 0 or found.gpus_max > 0

    def guaranteed(self, team: str) -> bool:
        """Whether a team has a guarantee."""
        found = self.known.get(team)
        return found is not None and (found.cpus > 0 or found.gpus > 0)

    def use(self, shard: int, team: str) -> tuple[float, float]:
        """CPUs and GPUs that a team's tasks take in a shard."""
        return self.agents.placements.team_use(shard, team)

    def tasks_within_limit(self, shard: int, spec: user_api.JobSpec) -> int:
        """How many more tasks of this job the team's share allows in the shard."""
        if not self.limited(spec.team):
            return 1_000_000
        unheard = self._unheard(shard)
        if unheard is None:
            return 0
        share, used = self.share(shard, spec.team), self.use(shard, spec.team)
        cpus, gpus = share[0] - used[0] - unheard[0], share[1] - used[1] - unheard[1]
        if self.held_back(spec):
            # The gang's part leaves all that it needs, any other as much of that as it
            # holds of the limit; the rest goes on, for a gang may wait long for shares
            # to move in an outage.
            _, place, id = self.waiting_for_limit[spec.team]
            gang, team = self.job_index.open[id].spec, self.known[spec.team]
            if team.cpus_max:
                fraction = 1.0 if place == shard else share[0] / team.cpus_max
                cpus -= gang.cpus * gang.tasks * fraction
            if team.gpus_max:
                fraction = 1.0 if place == shard else share[1] / team.gpus_max
                gpus -= gang.gpus * gang.tasks * fraction
        return count_fitting(limited_request(spec), Resources(cpus, gpus, 0.0))

    def _unheard(self, shard: int) -> tuple[float, float] | None:
        """The most that a team may use, unknown to us, on machines since the failover.

        Any of them may hold nothing but this team's tasks. A zone that is cut off in the
        midst of a failover must not stop every limited team on the machines that answer.
        """
        machines_with_orphans = self.agents.machines_with_orphans.get(shard)
        if self.scheduler.shards.work[shard].reconciled and not machines_with_orphans:
            return (0.0, 0.0)
        hold = self.agents.shards.get(shard)
        if hold is None or not hold.loaded:
            return None
        cpus = gpus = 0.0
        # Nor is anything known of what tasks of jobs that are over take until they end.
        for name in hold.suspects | (machines_with_orphans or set()):
            machine = self.agents.machines.get(name)
            if machine is None or machine.machine_type is None:
                return None
            cpus, gpus = cpus + machine.machine_type.cpus, gpus + machine.machine_type.gpus
        return (cpus, gpus)

    def held_back(self, spec: user_api.JobSpec) -> bool:
        """Whether a gang of the team comes first and can't gather enough of its limit.

        Arrays take what frees up task by task, so a gang would wait for ever for a
        limit that its own team's arrays fill.
        """
        gang = self.waiting_for_limit.get(spec.team)
        if gang is None or spec.kind == user_api.GANG:
            return False
        job, first = self.job_index.open.get(spec.id), self.job_index.open.get(gang[2])
        if job is None or first is None or RANK[spec.rank] < RANK[first.spec.rank]:
            return False
        # The gang's stretch deadline is far off for its size, while it needs little of
        # the limit, and only once: after a few reports it comes first.
        waited = trio.current_time() - self.scheduler.priorities.release(first)
        return waited > self.report_s * 4 or gang[0] <= self.scheduler.priorities.due(job, 1.0)

    def find_waiting_for_limit(self) -> None:
        """For each limited team, the first gang that has room on machines but no share."""
        self.waiting_for_limit.clear()
        limited = {team for team in self.known if self.limited(team)}
        for gang in self.job_index.open.values() if limited else ():
            # Not assigned yet, since the limit has no place for all of it.
            team = gang.spec.team
            if (
                gang.spec.kind == user_api.GANG
                and not gang.record.ranges
                and team in limited
                and self.limit_left(gang.spec) < gang.spec.tasks
            ):
                row = (self.scheduler.priorities.due(gang, 1.0), -1, gang.id)
                if team not in self.waiting_for_limit or row < self.waiting_for_limit[team]:
                    self.waiting_for_limit[team] = row
        for status in self.scheduler.statuses.newest.values():
            for id, count in status.waiting.items():
                job = self.job_index.open.get(id)
                if job is None or job.spec.kind != user_api.GANG or not self.limited(job.spec.team):
                    continue
                spec = job.spec
                share, used = self.share(status.shard, spec.team), status.use.get(spec.team, (0, 0))
                available = Resources(share[0] - used[0], share[1] - used[1], 0.0)
                if count_fitting(limited_request(spec), available) >= count:
                    continue
                if (
                    id not in status.reserved
                    and self.scheduler.statuses.free_capacity(status, spec, yielding=True) < count
                ):
                    continue
                row = (self.scheduler.priorities.due(job, 1.0), status.shard, id)
                if (
                    spec.team not in self.waiting_for_limit
                    or row < self.waiting_for_limit[spec.team]
                ):
                    self.waiting_for_limit[spec.team] = row

    def use_anywhere(self, team: str) -> tuple[float, float]:
        """A team's use in all shards: ours exactly, others' as last told."""
        rows = [
            self.use(p, team)
            if p in self.scheduler.shards.work
            else status.use.get(team, (0.0, 0.0))
            for p, status in self.scheduler.statuses.newest.items()
        ]
        return sum(r[0] for r in rows), sum(r[1] for r in rows)

    def under(self, spec: user_api.JobSpec) -> bool:
        """Whether the team, with one more such task, runs no more than its guarantee.

        Guarantees decide order and preemption only, so peers' statuses are exact enough;
        limits are rules and rest on durable shares instead.
        """
        team = self.known.get(spec.team)
        if team is None or not (team.cpus or team.gpus):
            return False
        cpus, gpus = self.use_anywhere(spec.team)
        return (not team.cpus or cpus + spec.cpus <= team.cpus + 1e-6) and (
            not team.gpus or gpus + spec.gpus <= team.gpus + 1e-6
        )

    def limit_left(self, spec: user_api.JobSpec) -> int:
        """How many more tasks of a job its team's limit allows, over all shards."""
        team = self.known.get(spec.team)
        if team is None:
            return 0
        cpus, gpus = self.use_anywhere(spec.team)
        available = Resources(
            team.cpus_max - cpus if team.cpus_max else math.inf,
            team.gpus_max - gpus if team.gpus_max else math.inf,
            0.0,
        )
        return count_fitting(limited_request(spec), available)

    def beyond(self, spec: user_api.JobSpec, other: str) -> bool:
        """Whether a team other than ours runs more than its own guarantee."""
        return spec.team != other and self.over_guarantee(spec.team)

    def over_guarantee(self, name: str) -> bool:
        """Whether a team runs more than its guarantee."""
        team = self.known.get(name)
        if team is None:
            return False
        cpus, gpus = self.use_anywhere(name)
        return cpus > team.cpus + 1e-6 or (gpus > team.gpus + 1e-6 and team.gpus > 0)

    async def move_shares(self) -> None:
        """Give a shard with too small a share what this shard neither uses nor waits for.

        One commit lowers our share and raises the other's; we count as lowered from
        before it is sent until the store is known to say otherwise.
        """
        for shard, work in list(self.scheduler.shards.work.items()):
            token = self.membership.token(shard)
            if not work.reconciled or token is None or shard not in self.scheduler.statuses.newest:
                continue
            for team in self.known.values():
                if not self.limited(team.name) or (shard, team.name) in self.giving:
                    continue
                if self.scheduler.shards.work.get(shard) is not work:
                    break  # lost while a share of it was being given away
                spare = self._spare(shard, work, team.name)
                for other in self.scheduler.statuses.newest.values():
                    if other.shard == shard:
                        continue
                    short, least = self._short(other, team.name)
                    give = (min(spare[0], short[0]), min(spare[1], short[1]))
                    waiting_for_limit = self.waiting_for_limit.get(team.name)
                    if waiting_for_limit is not None:
                        if waiting_for_limit[1] != other.shard:
                            continue  # first the gang that waits for its team's limit
                    elif not fits(Resources(*least, 0.0), Resources(*give, 0.0)):
                        continue  # not enough to start even one task there
                    if give[0] > 1e-6 or give[1] > 1e-6:
                        await self._give_share(shard, token, other.shard, team, give)
                        break

    def _spare(self, shard: int, work: ShardState, team: str) -> tuple[float, float]:
        share, used = self.share(shard, team), self.use(shard, team)
        cpus, gpus = share[0] - used[0], share[1] - used[1]
        for allocation in work.allocations.values():
            spec = allocation.job.spec
            if spec.team == team and allocation.pending.count and not self.held_back(spec):
                count = self._startable(
                    self.scheduler.statuses.newest[shard], spec, allocation.pending.count
                )
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
            self.scheduler.statuses.free_capacity(status, spec, yielding=yielding),
        )

    def _short(
        self, status: ShardStatus, team: str
    ) -> tuple[tuple[float, float], tuple[float, float]]:
        """What a shard's waiting tasks of a team lack of share; and for one task, the least."""
        share, used = self.share(status.shard, team), status.use.get(team, (0.0, 0.0))
        left = (share[0] - used[0], share[1] - used[1])
        cpus = gpus = 0.0
        least = (math.inf, math.inf)
        for id, count in status.waiting.items():
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
            self.shares.of(team.name)
            or [(team.cpus_max / self.count, team.gpus_max / self.count)] * self.count
        )
        moved = list(rows)
        moved[shard] = (rows[shard][0] - give[0], rows[shard][1] - give[1])
        moved[to] = (rows[to][0] + give[0], rows[to][1] + give[1])
        change = self.shares.change(team.name, moved)
        versions = self.shares.versions(team.name)
        conditions = {keys.shard(shard): token, **versions}
        self.giving[(shard, team.name)] = give
        try:
            await self.scheduler.commits.commit(conditions, [change], priority=Priority.SUBMISSIONS)
        except StoreUnavailable as error:
            await self.scheduler.resolve_outcome(
                error,
                change.key,
                versions,
                shard,
                token,
                lambda: self.shares.unchanged(change.key, team.name, rows),
            )
        finally:
            self.giving.pop((shard, team.name), None)
