"""Teams: guarantees, limits, and the durable shares of a limit that shards hold."""

from __future__ import annotations

import math

import trio

from ...config.settings import Team
from ...formats.quota_shares import QuotaShares
from ...jobs.resources import Resources, count_fitting, limited_request
from ...protocol import user_api
from ..capacity import RANK
from ..context import SchedulingContext
from ..shards.allocations import ShardState
from ..shards.deadlines import Deadlines
from ..shards.shard_statuses import ShardStatuses


class Quotas:
    """What each team may use: its guarantee, its limit, and each shard's share of the limit."""

    def __init__(
        self,
        context: SchedulingContext,
        shares: QuotaShares,
        shards: dict[int, ShardState],
        statuses: ShardStatuses,
        deadlines: Deadlines,
    ) -> None:
        self.job_index = context.job_index
        self.agents = context.agents
        self.agent_heartbeat_s = context.agent_heartbeat_s
        self.shard_count = context.shard_count
        self.shares = shares
        self.shards = shards
        self.statuses = statuses
        self.deadlines = deadlines
        teams = context.settings.deployment.teams
        self.known: dict[str, Team] = {team.name: team for team in teams}
        # Parts of shares whose transfer is under way, by shard and team: CPUs, GPUs.
        self.giving: dict[tuple[int, str], tuple[float, float]] = {}
        # team -> (due, shard, id) of the gang short of share
        self.waiting_for_limit: dict[str, tuple[float, int, str]] = {}

    def share(self, shard: int, team: str) -> tuple[float, float]:
        """This shard's durable share of a team's limits; infinite without a limit."""
        settings = self.known.get(team)
        if settings is None:
            return (0.0, 0.0)
        rows = self.shares.of(team)
        if rows is not None:
            cpus, gpus = rows[shard]
        else:
            cpus, gpus = settings.cpus_max / self.shard_count, settings.gpus_max / self.shard_count
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
        if self.shards[shard].reconciled and not machines_with_orphans:
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
        waited = trio.current_time() - self.deadlines.release_time(first)
        return waited > self.agent_heartbeat_s * 4 or gang[0] <= self.deadlines.due(job, 1.0)

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
                row = (self.deadlines.due(gang, 1.0), -1, gang.id)
                if team not in self.waiting_for_limit or row < self.waiting_for_limit[team]:
                    self.waiting_for_limit[team] = row
        for status in self.statuses.newest.values():
            for id, count in status.pending.items():
                job = self.job_index.open.get(id)
                if job is None or job.spec.kind != user_api.GANG or not self.limited(job.spec.team):
                    continue
                spec = job.spec
                share, used = (
                    self.share(status.shard, spec.team),
                    status.usage.get(spec.team, (0, 0)),
                )
                available = Resources(share[0] - used[0], share[1] - used[1], 0.0)
                if count_fitting(limited_request(spec), available) >= count:
                    continue
                if (
                    id not in status.reserved_jobs
                    and self.statuses.free_capacity(status, spec, by_preemption=True) < count
                ):
                    continue
                row = (self.deadlines.due(job, 1.0), status.shard, id)
                if (
                    spec.team not in self.waiting_for_limit
                    or row < self.waiting_for_limit[spec.team]
                ):
                    self.waiting_for_limit[spec.team] = row

    def use_anywhere(self, team: str) -> tuple[float, float]:
        """A team's use in all shards: ours exactly, others' as last told."""
        rows = [
            self.use(p, team) if p in self.shards else status.usage.get(team, (0.0, 0.0))
            for p, status in self.statuses.newest.items()
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
