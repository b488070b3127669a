"""Quotas of teams: guarantees, limits, and the durable shares of a limit that shards hold."""

from __future__ import annotations

import math
from typing import NamedTuple

import trio

from ...agents.placements import NO_USE, ResourceUse
from ...config.settings import Team
from ...formats.quota_shares import QuotaShares, ShardQuotaShare
from ...jobs.index import Job
from ...jobs.resources import TOLERANCE, Resources, count_fitting, limited_request
from ...membership.messages import ShardStatus
from ...protocol import user_api
from ..capacity import RANK
from ..context import SchedulingContext
from ..shards.allocations import ShardState
from ..shards.deadlines import Deadlines
from ..shards.shard_statuses import ShardStatuses

NO_SHARE = ShardQuotaShare(0.0, 0.0)
# Number of tasks that a team without a limit may start at once: more than fit into any shard.
_UNLIMITED_TASKS = 1_000_000
# Shard number in the entry of a gang that isn't assigned to any shard yet.
_NO_SHARD = -1
# Agent heartbeat intervals after which a pending gang that is short of quota takes precedence
# over all arrays of its team.
_GANG_FIRST_INTERVALS = 4
# Stretch at which the deadlines of gangs and arrays are compared.
_COMPARISON_STRETCH = 1.0


class GangShortOfQuota(NamedTuple):
    """A gang that fits on the machines, but not within its team's limit or a share of it.

    Such gangs are served in ascending order of these fields.
    """

    deadline: float
    shard: int  # _NO_SHARD if no shard has it
    job_id: str


class Quotas:
    """Resources that each team may use: guarantee, limit, and each shard's share of the limit."""

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
        self.teams: dict[str, Team] = {
            team.name: team for team in context.settings.deployment.teams
        }
        # By shard and team: the amount that `QuotaTransfer` is taking from the shard's share.
        self.transfers_in_flight: dict[tuple[int, str], ShardQuotaShare] = {}
        # By limited team: the first of its gangs that are short of quota.
        self.short_of_quota: dict[str, GangShortOfQuota] = {}

    def share(self, shard: int, team: str) -> ShardQuotaShare:
        """Return a shard's durable share of a team's limit, less any transfer in flight.

        The share of a resource without a limit is infinite.
        """
        return ShardQuotaShare(*self._share(shard, team))

    def _share(self, shard: int, team: str) -> tuple[float, float]:
        """Return `share` as a plain tuple, which is faster for `tasks_within_limit`."""
        settings = self.teams.get(team)
        if settings is None:
            return NO_SHARE
        shares = self.shares.of(team)
        if shares is not None:
            cpus, gpus = shares[shard]
        else:
            cpus, gpus = settings.cpus_max / self.shard_count, settings.gpus_max / self.shard_count
        in_flight = self.transfers_in_flight.get((shard, team), NO_SHARE)
        return (
            cpus - in_flight[0] if settings.cpus_max > 0 else math.inf,
            gpus - in_flight[1] if settings.gpus_max > 0 else math.inf,
        )

    def has_limit(self, team: str) -> bool:
        """Return whether a team has a limit; an unknown team counts as limited."""
        settings = self.teams.get(team)
        return settings is None or settings.cpus_max > 0 or settings.gpus_max > 0

    def has_guarantee(self, team: str) -> bool:
        """Return whether a team has a guarantee."""
        settings = self.teams.get(team)
        return settings is not None and (settings.cpus > 0 or settings.gpus > 0)

    def use(self, shard: int, team: str) -> ResourceUse:
        """Return the CPUs and GPUs that a team's tasks use in a shard."""
        return self.agents.placements.team_use(shard, team)

    def reported_use(self, status: ShardStatus, team: str) -> ResourceUse:
        """Return the CPUs and GPUs that a team's tasks use in a shard according to its status."""
        return ResourceUse(*status.usage.get(team, NO_USE))

    def tasks_within_limit(self, shard: int, spec: user_api.JobSpec) -> int:
        """Return how many more tasks of a job the shard's share of the team's limit allows."""
        if not self.has_limit(spec.team):
            return _UNLIMITED_TASKS
        unreconciled = self._unreconciled_use(shard)
        if unreconciled is None:
            return 0
        # Tuples are unpacked since this runs on each agent heartbeat and named fields are slower.
        share_cpus, share_gpus = self._share(shard, spec.team)
        used_cpus, used_gpus = self.use(shard, spec.team)
        cpus = share_cpus - used_cpus - unreconciled[0]
        gpus = share_gpus - used_gpus - unreconciled[1]
        if self.yields_to_gang(spec):
            # The gang's shard reserves the gang's full request; any other shard reserves a part
            # of the request in proportion to its share of the limit. Tasks within the remainder
            # still start, since transfers to the gang's shard may take long during an outage.
            _, gang_shard, id = self.short_of_quota[spec.team]
            gang, team = self.job_index.open[id].spec, self.teams[spec.team]
            if team.cpus_max:
                fraction = 1.0 if gang_shard == shard else share_cpus / team.cpus_max
                cpus -= gang.cpus * gang.tasks * fraction
            if team.gpus_max:
                fraction = 1.0 if gang_shard == shard else share_gpus / team.gpus_max
                gpus -= gang.gpus * gang.tasks * fraction
        return count_fitting(limited_request(spec), Resources(cpus, gpus, 0.0))

    def _unreconciled_use(self, shard: int) -> ResourceUse | None:
        """Return the maximum that a team may use on machines not reconciled since the failover.

        Each of them may be full of this team's tasks, so its total capacity counts. Return None
        if the machines or their capacity are unknown. Machines that have responded don't count,
        so limited teams can start tasks there while a zone is unreachable during a failover.
        """
        machines_with_orphans = self.agents.machines_with_orphans.get(shard)
        if self.shards[shard].reconciled and not machines_with_orphans:
            return NO_USE
        agents_shard = self.agents.shards.get(shard)
        if agents_shard is None or not agents_shard.loaded:
            return None
        cpus = gpus = 0.0
        # Orphans (tasks of closed jobs) use an unknown amount until they end.
        for name in agents_shard.suspects | (machines_with_orphans or set()):
            machine = self.agents.machines.get(name)
            if machine is None or machine.machine_type is None:
                return None
            cpus, gpus = cpus + machine.machine_type.cpus, gpus + machine.machine_type.gpus
        return ResourceUse(cpus, gpus)

    def yields_to_gang(self, spec: user_api.JobSpec) -> bool:
        """Return whether the job must yield to a gang of its team that is short of quota.

        Arrays use freed quota task by task, so a gang would never start under a limit that its
        own team's arrays reach.
        """
        gang = self.short_of_quota.get(spec.team)
        if gang is None or spec.kind == user_api.GANG:
            return False
        job, gang_job = self.job_index.open.get(spec.id), self.job_index.open.get(gang.job_id)
        if job is None or gang_job is None or RANK[spec.rank] < RANK[gang_job.spec.rank]:
            return False
        # A gang's size puts its stretch deadline far in the future, although it needs little of
        # the limit, and only once. After a few heartbeats it therefore takes precedence.
        pending_s = trio.current_time() - self.deadlines.release_time(gang_job)
        return (
            pending_s > self.agent_heartbeat_s * _GANG_FIRST_INTERVALS
            or gang.deadline <= self.deadlines.deadline(job, _COMPARISON_STRETCH)
        )

    def find_short_of_quota(self) -> None:
        """Find, for each limited team, the first gang that fits on machines but lacks quota."""
        self.short_of_quota.clear()
        self._find_unassigned_gangs()
        for status in self.statuses.newest.values():
            for id, count in status.pending.items():
                job = self.job_index.open.get(id)
                if (
                    job is not None
                    and job.spec.kind == user_api.GANG
                    and self.has_limit(job.spec.team)
                    and self._is_short_of_share(status, job, count)
                ):
                    self._record_short_of_quota(job, status.shard)

    def _find_unassigned_gangs(self) -> None:
        """Record gangs that no shard has because the limit doesn't allow all of their tasks."""
        limited = {team for team in self.teams if self.has_limit(team)}
        for gang in self.job_index.open.values() if limited else ():
            if (
                gang.spec.kind == user_api.GANG
                and not gang.record.ranges
                and gang.spec.team in limited
                and self.limit_left(gang.spec) < gang.spec.tasks
            ):
                self._record_short_of_quota(gang, _NO_SHARD)

    def _is_short_of_share(self, status: ShardStatus, job: Job, count: int) -> bool:
        """Return whether a shard has capacity for `count` pending tasks, but too small a share."""
        spec = job.spec
        share, used = self.share(status.shard, spec.team), self.reported_use(status, spec.team)
        available = Resources(share.cpus - used.cpus, share.gpus - used.gpus, 0.0)
        if count_fitting(limited_request(spec), available) >= count:
            return False
        return (
            job.id in status.reserved_jobs
            or self.statuses.free_capacity(status, spec, by_preemption=True) >= count
        )

    def _record_short_of_quota(self, gang: Job, shard: int) -> None:
        entry = GangShortOfQuota(self.deadlines.deadline(gang, _COMPARISON_STRETCH), shard, gang.id)
        current = self.short_of_quota.get(gang.spec.team)
        if current is None or entry < current:
            self.short_of_quota[gang.spec.team] = entry

    def total_use(self, team: str) -> ResourceUse:
        """Return a team's use in all shards: exact for led shards, as last reported for others."""
        cpus = gpus = 0.0
        for shard, status in self.statuses.newest.items():
            # `reported_use` would create an object for each job on each heartbeat.
            is_led = shard in self.shards
            use = self.use(shard, team) if is_led else status.usage.get(team, NO_USE)
            cpus += use[0]
            gpus += use[1]
        return ResourceUse(cpus, gpus)

    def within_guarantee(self, spec: user_api.JobSpec) -> bool:
        """Return whether the team stays within its guarantee with one more task of the job.

        Guarantees affect only priority order and preemption, so peers' statuses are exact
        enough. Limits must never be exceeded and are enforced by durable shares instead.
        """
        team = self.teams.get(spec.team)
        if team is None or not (team.cpus or team.gpus):
            return False
        cpus, gpus = self.total_use(spec.team)
        return (not team.cpus or cpus + spec.cpus <= team.cpus + TOLERANCE) and (
            not team.gpus or gpus + spec.gpus <= team.gpus + TOLERANCE
        )

    def limit_left(self, spec: user_api.JobSpec) -> int:
        """Return how many more tasks of a job its team's limit allows over all shards."""
        team = self.teams.get(spec.team)
        if team is None:
            return 0
        cpus, gpus = self.total_use(spec.team)
        available = Resources(
            team.cpus_max - cpus if team.cpus_max else math.inf,
            team.gpus_max - gpus if team.gpus_max else math.inf,
            0.0,
        )
        return count_fitting(limited_request(spec), available)

    def other_team_over_guarantee(self, spec: user_api.JobSpec, preempting_team: str) -> bool:
        """Return whether the job's team is over its guarantee and isn't `preempting_team`."""
        return spec.team != preempting_team and self.over_guarantee(spec.team)

    def over_guarantee(self, team_name: str) -> bool:
        """Return whether a team uses more than its guarantee."""
        team = self.teams.get(team_name)
        if team is None:
            return False
        cpus, gpus = self.total_use(team_name)
        return cpus > team.cpus + TOLERANCE or (gpus > team.gpus + TOLERANCE and team.gpus > 0)
