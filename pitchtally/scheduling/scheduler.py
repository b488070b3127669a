"""Which part gets a job's tasks, and which of them start on a machine.

The path of the design: an accepting node keeps a job if its shard covers it at a
stretch of at most B times the lowest anywhere, else the leader splits it by
summed availability; within a shard the tasks are allotted to machine queues the
same way; a machine with room starts its queue in deadline order and then takes
from the longest queue of its shard. Around it stand what the users' world adds:
ranks, guarantees and limits of teams, zones, gangs, preemption, and shards that
give tasks to a shard with room."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import Any

import msgspec
import trio

from ..agents.manager import AgentManager
from ..config.policy import Policy
from ..config.settings import Settings
from ..jobs.commits import JobCommits
from ..jobs.index import Job, JobIndex
from ..jobs.job_record import JobRecord, TaskRange, merge
from ..jobs.migration import JobMigration
from ..jobs.resources import dominant_share, resource_request
from ..membership.membership import Membership
from ..membership.messages import ShardStatus
from ..membership.shards import CLUSTER_LEADER_SHARD
from ..protocol import cloud_api, user_api
from ..state_store import keys
from ..state_store.client import Write
from ..state_store.errors import InvalidTransaction, OutcomeUnknown, StoreUnavailable
from ..state_store.rate_limits import Priority
from ..state_store.replica import Replica
from . import stretch
from .allocations import ShardState
from .capacity import NOBODY, RANK, Plan, allows_machine_type, is_fully_assigned, stays_in_one_shard
from .estimates import Estimates
from .gang_planner import GangPlanner
from .gangs import Gangs
from .placer import Placer
from .preemption import Preemption
from .priorities import PriorityOrder
from .quotas import Quotas
from .rebalancing import Rebalancing
from .service_migration import ServiceMigration
from .shard_statuses import ShardStatuses
from .shards import ShardStates

log = logging.getLogger("split")

# Planning rests this many times as long as it took: a tenth of the time is for it, and
# the rest of the processor for reports and users.
_REST = 9.0


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


class Scheduler:
    """The scheduler: its slices, what is kept and what is split, and the loops."""

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        membership: Membership,
        job_index: JobIndex,
        commits: JobCommits,
        agents: AgentManager,
        replica: Replica,
        migration: JobMigration,
        types: Callable[[], dict[str, cloud_api.MachineType]],
    ):
        self.migration = migration
        self.layout = migration.layout
        self.settings = settings
        self.policy = policy
        self.membership = membership
        self.job_index = job_index
        self.commits = commits
        self.agents = agents
        self.types = types
        self.count = settings.deployment.count
        self.report_s = settings.deployment.workers.report_s
        self.estimates = Estimates(policy.start_within)
        self.wake = trio.Event()
        # S in task-seconds per task-second: from far below any real queue upward.
        self.stretches = stretch.samples(2.0**-12, 2.0**3, int(policy.stretch_samples))
        self.sizes = stretch.samples(16.0, 2.0**19, int(policy.size_samples))
        self.tasks = stretch.samples(0.25, 0.25 * 3.0**7, int(policy.task_samples))
        self.replica = replica
        self.priorities = PriorityOrder(self)
        self.statuses = ShardStatuses(self)
        self.quotas = Quotas(self)
        self.shards = ShardStates(self)
        self.placer = Placer(self)
        self.gang_planner = GangPlanner(self)
        self.gangs = Gangs(self)
        self.preemption = Preemption(self)
        self.rebalancing = Rebalancing(self)
        self.service_migration = ServiceMigration(self)

    def _cover(self, status: ShardStatus, spec: user_api.JobSpec, level: int) -> int:
        """n of a shard at a stretch sample, from its matrix, less what was sent since."""
        total = 0
        size = stretch.sample_below(self.sizes, self.priorities.size(spec))
        sent = sum(w for _, w in self.statuses.unreported.get(status.shard, ()))
        for name, cells in status.matrix:
            type_, zone, spot = name.split("|")
            machine_type = self.types().get(type_)
            if machine_type is None or not allows_machine_type(
                spec, machine_type, zone, spot == "1"
            ):
                continue
            task = self.estimates.task(spec) * dominant_share(resource_request(spec), machine_type)
            total += cells[level][size][stretch.sample_above(self.tasks, task)]
            if sent and total:
                total -= math.ceil(sent / max(task, 1e-6))
                sent = 0.0
        return max(0, total)

    def decide(self, spec: user_api.JobSpec) -> Plan:
        """On acceptance: keep the job in a shard of ours, or NOBODY to send it to the leader.

        A gang's tasks are placed at once wherever there is room for all: it has no
        stretch to compare, and a detour by the leader would only cost time.
        """
        mine = [p for p, w in self.shards.work.items() if w.loaded and p in self.statuses.newest]
        if not mine:
            return NOBODY
        if spec.kind == user_api.GANG:
            token = self.membership.token(mine[0])
            return (token is not None and self.gang_planner.plan(spec, token)) or NOBODY
        if spec.is_service:
            # Rooms are compared, not queues: it goes to the leader only if ours lack it.
            return self.gang_planner.plan_service(spec, mine) or NOBODY
        if stays_in_one_shard(spec):
            best = self.gang_planner.best_shard(spec)
            if best not in mine:
                return NOBODY
            ranges = [TaskRange(0, spec.tasks, best)]
            return Plan(ranges, self.gang_planner.pick_zone(spec, ranges))
        return Plan(self._keep(spec, mine))

    def _keep(self, spec: user_api.JobSpec, mine: list[int]) -> list[TaskRange]:
        """The B test on our shards; the leader splits at once what none of them keeps."""
        lowest = max(
            min((n.stretch for n in self.statuses.newest.values()), default=0.0), self.stretches[0]
        )
        for shard in mine:
            counts = [
                self._cover(self.statuses.newest[shard], spec, i)
                for i in range(len(self.stretches))
            ]
            level = stretch.least_cover(counts, spec.tasks)
            if level is not None and self.stretches[level] <= self.policy.bound * lowest:
                self.statuses.record_allocation(shard, spec, spec.tasks)
                return [TaskRange(0, spec.tasks, shard)]
        return self.divide(spec) if self.membership.cluster_leader_token is not None else []

    def divide(self, spec: user_api.JobSpec) -> list[TaskRange]:
        """The leader's split: in proportion to availability at the least covering stretch."""
        if stays_in_one_shard(spec):
            best = self.gang_planner.best_shard(spec)
            return [TaskRange(0, spec.tasks, best)] if best is not None else []
        statuses = [n for n in self.statuses.newest.values() if n.matrix]
        if not statuses:
            return []
        totals = [
            sum(self._cover(n, spec, i) for n in statuses) for i in range(len(self.stretches))
        ]
        level = stretch.least_cover(totals, spec.tasks)
        top = len(self.stretches) - 1 if level is None else level
        found = [self._cover(n, spec, top) for n in statuses]
        if sum(found) == 0:
            return []
        out, first = [], 0
        for status, n in zip(
            statuses, stretch.shares(found, min(spec.tasks, sum(found))), strict=True
        ):
            if n:
                out.append(TaskRange(first, first + n, status.shard))
                self.statuses.record_allocation(status.shard, spec, n)
                first += n
        return out

    def decide_as_leader(self, spec: user_api.JobSpec) -> Plan:
        """Where a job goes that no part of its accepting controller keeps; NOBODY if unknown."""
        if self.membership.cluster_leader_token is None or spec.kind == user_api.GANG:
            return NOBODY
        if stays_in_one_shard(spec):
            return self.gang_planner.plan_whole(spec) or NOBODY
        if spec.is_service:
            plan = self.gang_planner.plan_service(spec, self.statuses.newest)
            if plan is not None:
                return plan
        return Plan(self.divide(spec))

    async def _assign(self) -> None:
        token = self.membership.cluster_leader_token
        waiting = [
            job
            for job in self.job_index.open.values()
            if sum(r.tasks for r in job.record.ranges) < job.record.tasks
        ]
        # In the order of starts: what is planned first gets the room.
        waiting.sort(
            key=lambda job: (
                self.priorities.overdue(job),
                not self.priorities.late(job),
                RANK[job.spec.rank],
                not self.quotas.under(job.spec),
                self.priorities.release(job),
            )
        )
        for job in waiting:
            have = sum(r.tasks for r in job.record.ranges)
            # A job may end while the write for the one before it is under way.
            if have >= job.record.tasks or token is None or not job.open:
                continue
            if stays_in_one_shard(job.spec):
                if not have:
                    await self.gang_planner.assign(job, token)
                elif job.finished.count:
                    await self.gang_planner.assign_rest(job, token)
                continue
            rest = (
                job.spec
                if not have
                else msgspec.structs.replace(job.spec, tasks=job.record.tasks - have)
            )
            found = self.divide(rest)
            if not found:
                continue
            ranges = merge([*job.record.ranges, *((a + have, b + have, p) for a, b, p in found)])
            await self.write_ranges(job, {keys.shard(CLUSTER_LEADER_SHARD): token}, ranges)

    async def write_ranges(
        self,
        job: Job,
        guard: dict[str, int],
        ranges: list[TaskRange],
        **more: Any,
    ) -> bool:
        """Write who gets which tasks of a job; False if a condition failed."""
        key = keys.job(job.id)
        # Our copy applies our own writes ahead of the watch: a shard of ours that was
        # taken over meanwhile must not be given tasks that its new leader starts too.
        for _, _, shard in ranges:
            token = self.membership.token(shard)
            if token is not None:
                guard[keys.shard(shard)] = token
        # Moves are for the better, assignments for going at all.
        priority = (
            Priority.PROGRESS if is_fully_assigned(job) and not more else Priority.SUBMISSIONS
        )
        value = self._record_with(job, ranges=ranges, **more)
        if self.layout.needs_conversion(job) or not self.layout.record_fits(value):
            before = job.record
            if not await self.migration.convert(job, priority) or not _same_plan(job, before):
                return False  # what was decided on may have changed meanwhile
            value = self._record_with(job, ranges=ranges, **more)
        if not self.layout.record_fits(value):
            return False  # too many pieces for a record: the tasks stay where they are
        try:
            return await self.commits.commit(
                {key: job.version, **guard}, [Write(key, value)], priority=priority
            )
        except InvalidTransaction as error:
            log.info("ranges refused job=%s cause=%s", job.id, error)
            return False

    def _record_with(self, job: Job, **changes: Any) -> bytes:
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
                await trio.sleep(0.3)

    async def resolve_job_outcome(
        self, error: StoreUnavailable, job: Job, version: int, shard: int, token: int
    ) -> None:
        """`settle` for a job's record."""
        key = keys.job(job.id)
        await self.resolve_outcome(
            error, key, {key: version}, shard, token, lambda: self._record_with(job)
        )

    async def run(self) -> None:
        """Allot, preempt, refresh statuses; what is due is worked out anew each time."""
        while True:
            with trio.move_on_after(self.report_s / 4):
                await self.wake.wait()
            self.wake = trio.Event()
            # Starts travel with reports: planning much more often than these come is idle.
            await trio.sleep(self.report_s / 10)
            spent = 0.0
            for shard, work in list(self.shards.work.items()):
                if work.loaded and shard in self.shards.work:
                    at = trio.current_time()
                    self._plan(shard, work)
                    spent += trio.current_time() - at
                    await trio.sleep(0)  # reports come before planning
            spent += self.statuses.refresh()
            # Planning takes a bounded share of the processor, whatever its size.
            await trio.sleep(min(self.report_s, spent * _REST))

    def _plan(self, shard: int, work: ShardState) -> None:
        """One planning round of a shard."""
        self.placer.survey(shard)
        self.placer.allot(shard)
        self.gangs.start(work, shard)
        self.placer.evict_draining(shard)
        self.preemption.preempt(shard)
        self.gangs.reserve(shard)

    async def run_global_scheduling(self) -> None:
        """The leader gives out jobs that nobody kept; leaders move what another can start."""
        spent = 0.0
        while True:
            await trio.sleep(max(0.2, min(self.report_s, spent * _REST)))
            at = trio.current_time()
            try:
                if self.membership.cluster_leader_token is not None:
                    await self._assign()
                await self.gangs.give_back()
                await self.service_migration.move()
                await self.rebalancing.rebalance()
                await self.rebalancing.balance_queues()
                await self.quotas.move_shares()
                spent = min(self.report_s, trio.current_time() - at)
            except StoreUnavailable as error:
                log.debug("split not written: %s", error)
                await trio.sleep(0.3)
