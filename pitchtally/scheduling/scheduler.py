"""Composes the scheduler's components and runs its two planning loops.

The design follows Celaya and Marchal: the controller that accepts a job keeps it if one of its
shards covers the job at a stretch of at most B times the lowest stretch of any shard; otherwise
the cluster leader splits the job over the shards in proportion to their summed availability.
Within a shard, tasks are allotted to machine queues in the same way. A machine with capacity
starts the tasks of its own queue in deadline order, then takes tasks from the longest queue of
its shard. Ranks, team quotas, zones, gangs, preemption and the migration of tasks between shards
extend the paper's design.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio

from ..agents.manager import AgentManager
from ..config.policy import Policy
from ..config.settings import Settings
from ..formats.quota_shares import QuotaShares
from ..jobs.commits import JobCommits
from ..jobs.index import JobIndex
from ..jobs.migration import JobMigration
from ..membership.membership import Membership
from ..protocol import cloud_api, user_api
from ..state_store.errors import StoreUnavailable
from ..state_store.replica import Replica
from .assignment.constrained_assignment import ConstrainedAssignment
from .assignment.job_assignment import JobAssignment
from .assignment.local_assignment import JobPlanners, LocalAssignment
from .assignment.proportional_split import ProportionalSplit
from .capacity import Plan
from .context import AvailabilitySamples, SchedulingContext
from .estimates import Estimates
from .gangs.free_capacity import FreeCapacity
from .gangs.planner import GangPlanner
from .gangs.range_return import RangeReturn
from .gangs.reservations import Reservations
from .gangs.single_shard_planner import SingleShardPlanner
from .gangs.starter import GangStarter
from .placement.allotment import Allotment
from .placement.draining import DrainingEviction
from .placement.placer import Placer
from .placement.preemption import Preemption
from .placement.status_publisher import StatusPublisher
from .placement.survey import Survey
from .planning_trigger import PlanningTrigger
from .priorities import PriorityOrder
from .quotas.quota_transfer import QuotaTransfer
from .quotas.quotas import Quotas
from .range_writer import RETRY_INTERVAL_S, RangeWriter
from .rebalancing.queue_balancing import QueueBalancing
from .rebalancing.rebalancing import Rebalancing
from .rebalancing.service_migration import ServiceMigration
from .rebalancing.task_migration import TaskMigration
from .shards.allocations import ShardState
from .shards.deadlines import Deadlines
from .shards.failure_tracker import FailureTracker
from .shards.shard_states import ShardStates
from .shards.shard_statuses import ShardStatuses

log = logging.getLogger(__name__)

# After planning, a loop sleeps this many times as long as the planning took, so that planning
# uses a tenth of the processor time and leaves the rest to agent heartbeats and user requests.
_PLANNING_PAUSE_FACTOR = 9.0
_MIN_GLOBAL_ROUND_INTERVAL_S = 0.2


class Scheduler:
    """Composes the components of the scheduler and runs their loops."""

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
        machine_types: Callable[[], dict[str, cloud_api.MachineType]],
    ):
        """Compose the components.

        `machine_types` returns the machine types that the catalog lists now, by name. The
        arguments from `membership` to `migration` are components of lower layers that the
        controller has composed.
        """
        context = SchedulingContext(
            settings=settings,
            policy=policy,
            job_index=job_index,
            commits=commits,
            agents=agents,
            machine_types=machine_types,
            estimates=Estimates(policy.start_within),
            samples=AvailabilitySamples.from_policy(policy),
            agent_heartbeat_s=settings.deployment.workers.report_s,
            shard_count=settings.deployment.count,
        )
        self.membership = membership
        self.agent_heartbeat_s = context.agent_heartbeat_s
        self.estimates = context.estimates
        self.planning_trigger = PlanningTrigger()
        self.range_writer = RangeWriter(commits, membership, replica, migration)
        self._compose_shared(context, QuotaShares(replica, job_index.gate))
        self._compose_shard_planning(context)
        self._compose_global_planning(context)

    def _compose_shared(self, context: SchedulingContext, shares: QuotaShares) -> None:
        """Compose the components that both planning loops use."""
        states: dict[int, ShardState] = {}
        self.deadlines = Deadlines(context)
        self.statuses = ShardStatuses(context, self.membership, states)
        self.quotas = Quotas(context, shares, states, self.statuses, self.deadlines)
        self.priorities = PriorityOrder(context, self.deadlines, self.quotas)
        self.failures = FailureTracker(context)
        self.shards = ShardStates(
            context, states, self.statuses, self.deadlines, self.failures, self.planning_trigger
        )

    def _compose_shard_planning(self, context: SchedulingContext) -> None:
        """Compose the components that plan within a shard."""
        states = self.shards.states
        self.survey = Survey(context, states, self.deadlines, self.failures)
        self.allotment = Allotment(context, states)
        self.gang_starter = GangStarter(
            context, states, self.statuses, self.priorities, self.quotas
        )
        self.placer = Placer(context, states, self.priorities, self.quotas, self.gang_starter)
        self.draining = DrainingEviction(context, states)
        self.preemption = Preemption(context, states, self.deadlines, self.quotas)
        self.reservations = Reservations(context, states, self.deadlines, self.quotas)
        self.status_publisher = StatusPublisher(context, states, self.statuses, self.quotas)

    def _compose_global_planning(self, context: SchedulingContext) -> None:
        """Compose the components that plan over several shards."""
        states, writer = self.shards.states, self.range_writer
        free_capacity = FreeCapacity(context, self.statuses)
        single_shard = SingleShardPlanner(context, self.statuses, free_capacity)
        gangs = GangPlanner(context, self.statuses, self.quotas, self.deadlines, free_capacity)
        split = ProportionalSplit(context, self.statuses, self.deadlines, single_shard)
        self.local_assignment = LocalAssignment(
            context,
            self.membership,
            states,
            self.statuses,
            JobPlanners(gangs, single_shard, split),
        )
        constrained = ConstrainedAssignment(self.quotas, gangs, single_shard, writer)
        self.assignment = JobAssignment(
            context, self.deadlines, self.quotas, constrained, split, writer
        )
        self.range_return = RangeReturn(
            context, self.membership, self.shards, self.deadlines, self.quotas, writer
        )
        migration = TaskMigration(self.membership, self.statuses, writer)
        self.rebalancing = Rebalancing(context, states, self.statuses, self.quotas, migration)
        self.queue_balancing = QueueBalancing(context, states, self.statuses, migration)
        self.service_migration = ServiceMigration(
            context, states, self.statuses, self.quotas, free_capacity, single_shard, migration
        )
        self.quota_transfer = QuotaTransfer(
            context, self.membership, states, self.statuses, self.quotas, writer
        )

    def plan_submission(self, spec: user_api.JobSpec) -> Plan:
        """Plan a job on acceptance, see `LocalAssignment.plan_submission`."""
        return self.local_assignment.plan_submission(spec)

    def plan_as_leader(self, spec: user_api.JobSpec) -> Plan:
        """Plan a job that the accepting controller doesn't keep, as the cluster leader."""
        return self.local_assignment.plan_as_leader(spec)

    async def run(self) -> None:
        """Plan within each shard led here and refresh its status, until cancelled."""
        while True:
            await self.planning_trigger.wait(self.agent_heartbeat_s / 4)
            # Starts are sent in the responses to agent heartbeats, so more frequent planning
            # would start no task earlier.
            await trio.sleep(self.agent_heartbeat_s / 10)
            planning_s = 0.0
            for shard, state in list(self.shards.states.items()):
                if state.loaded and shard in self.shards.states:
                    started_at = trio.current_time()
                    await self._plan(shard, state)
                    planning_s += trio.current_time() - started_at
                    await trio.sleep(0)  # lets waiting agent heartbeats be answered first
            planning_s += self.status_publisher.refresh()
            # Bounds the share of processor time for planning, whatever the number of machines.
            await trio.sleep(min(self.agent_heartbeat_s, planning_s * _PLANNING_PAUSE_FACTOR))

    async def _plan(self, shard: int, state: ShardState) -> None:
        """Run one planning round of a shard, as far as this controller still leads it."""
        self.survey.survey(shard)
        self.allotment.allot(shard)
        self.gang_starter.start(state, shard)
        self.draining.evict_draining(shard)
        await self.preemption.preempt(shard)
        if self.shards.states.get(shard) is state:
            self.reservations.reserve(shard)

    async def run_global_scheduling(self) -> None:
        """Assign jobs, return ranges, migrate tasks and transfer quota, until cancelled.

        Only the cluster leader assigns jobs; every shard leader does the rest for its shards.
        """
        round_s = 0.0
        while True:
            await trio.sleep(
                max(
                    _MIN_GLOBAL_ROUND_INTERVAL_S,
                    min(self.agent_heartbeat_s, round_s * _PLANNING_PAUSE_FACTOR),
                )
            )
            started_at = trio.current_time()
            try:
                token = self.membership.cluster_leader_token
                if token is not None:
                    await self.assignment.assign(token)
                await self.range_return.return_unstartable()
                await self.service_migration.migrate()
                await self.rebalancing.rebalance()
                await self.queue_balancing.balance()
                await self.quota_transfer.transfer()
                round_s = min(self.agent_heartbeat_s, trio.current_time() - started_at)
            except StoreUnavailable as error:
                log.debug("global scheduling round aborted: %s", error)
                await trio.sleep(RETRY_INTERVAL_S)
