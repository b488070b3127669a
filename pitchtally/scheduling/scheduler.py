"""Which shard gets a job's tasks, and which of them start on a machine.

The path of the design: an accepting controller keeps a job if its shard covers it at a
stretch of at most B times the lowest anywhere, else the cluster leader splits it by
summed availability; within a shard the tasks are allotted to machine queues the
same way; a machine with capacity starts its queue in deadline order and then takes
from the longest queue of its shard. Around it stand ranks, guarantees and limits of
teams, zones, gangs, preemption, and shards that give tasks to a shard with capacity.
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
from .assignment.admission import Admission
from .assignment.job_assignment import JobAssignment
from .assignment.proportional_split import ProportionalSplit
from .capacity import Plan
from .context import AvailabilitySamples, SchedulingContext
from .estimates import Estimates
from .gangs.give_back import GiveBack
from .gangs.planner import GangPlanner
from .gangs.reservations import Reservations
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
from .rebalancing.rebalancing import Rebalancing
from .rebalancing.service_migration import ServiceMigration
from .rebalancing.task_transfer import TaskTransfer
from .shards.allocations import ShardState
from .shards.deadlines import Deadlines
from .shards.failure_tracker import FailureTracker
from .shards.shard_states import ShardStates
from .shards.shard_statuses import ShardStatuses

log = logging.getLogger("scheduler")

# Planning rests this many times as long as it took: a tenth of the time is for it, and
# the rest of the processor for reports and users.
_REST = 9.0
# Seconds between two rounds of the global loop, at the least.
_LEAST_ROUND_S = 0.2


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
        """`machine_types` gives the machine types of the catalog as it is now; each argument is a
        component of a lower layer that the controller has composed."""
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
        work: dict[int, ShardState] = {}
        self.membership = membership
        self.agent_heartbeat_s = context.agent_heartbeat_s
        self.estimates = context.estimates
        self.planning_trigger = PlanningTrigger()
        self.range_writer = RangeWriter(commits, membership, replica, migration)
        self.deadlines = Deadlines(context)
        self.statuses = ShardStatuses(context, membership, work)
        shares = QuotaShares(replica, job_index.gate)
        self.quotas = Quotas(context, shares, work, self.statuses, self.deadlines)
        self.priorities = PriorityOrder(context, self.deadlines, self.quotas)
        failures = FailureTracker(context)
        self.shards = ShardStates(
            context, work, self.statuses, self.deadlines, failures, self.planning_trigger
        )
        self._compose_shard_planning(context, failures)
        self._compose_global_planning(context)

    def _compose_shard_planning(self, context: SchedulingContext, failures: FailureTracker) -> None:
        """The components that plan within a shard."""
        work = self.shards.states
        self.survey = Survey(context, work, self.deadlines, failures)
        self.allotment = Allotment(context, work)
        self.gang_starter = GangStarter(context, work, self.statuses, self.priorities, self.quotas)
        self.placer = Placer(context, work, self.priorities, self.quotas, self.gang_starter)
        self.draining = DrainingEviction(context, work)
        self.preemption = Preemption(context, work, self.deadlines, self.quotas)
        self.reservations = Reservations(context, work, self.deadlines, self.quotas)
        self.status_publisher = StatusPublisher(context, work, self.statuses, self.quotas)

    def _compose_global_planning(self, context: SchedulingContext) -> None:
        """The components that plan over several shards."""
        work, membership, writer = self.shards.states, self.membership, self.range_writer
        self.gang_planner = GangPlanner(context, self.statuses, self.quotas, self.deadlines, writer)
        split = ProportionalSplit(context, self.statuses, self.deadlines, self.gang_planner)
        self.admission = Admission(
            context, membership, work, self.statuses, self.gang_planner, split
        )
        self.assignment = JobAssignment(
            context, self.deadlines, self.quotas, self.gang_planner, split, writer
        )
        self.give_back = GiveBack(
            context, membership, self.shards, self.deadlines, self.quotas, writer
        )
        transfer = TaskTransfer(membership, self.statuses, writer)
        self.rebalancing = Rebalancing(context, work, self.statuses, self.quotas, transfer)
        self.service_migration = ServiceMigration(
            context, work, self.statuses, self.quotas, self.gang_planner, transfer
        )
        self.quota_transfer = QuotaTransfer(
            context, membership, work, self.statuses, self.quotas, writer
        )

    def decide(self, spec: user_api.JobSpec) -> Plan:
        """Where a job goes on acceptance, see `Admission.decide`."""
        return self.admission.decide(spec)

    def decide_as_leader(self, spec: user_api.JobSpec) -> Plan:
        """Where a job goes that its accepting controller doesn't keep."""
        return self.admission.decide_as_leader(spec)

    async def run(self) -> None:
        """Allot, preempt, refresh statuses; what is due is worked out anew each time."""
        while True:
            await self.planning_trigger.wait(self.agent_heartbeat_s / 4)
            # Starts travel with reports: planning much more often than these come is idle.
            await trio.sleep(self.agent_heartbeat_s / 10)
            spent = 0.0
            for shard, work in list(self.shards.states.items()):
                if work.loaded and shard in self.shards.states:
                    at = trio.current_time()
                    self._plan(shard, work)
                    spent += trio.current_time() - at
                    await trio.sleep(0)  # reports come before planning
            spent += self.status_publisher.refresh()
            # Planning takes a bounded share of the processor, whatever its size.
            await trio.sleep(min(self.agent_heartbeat_s, spent * _REST))

    def _plan(self, shard: int, work: ShardState) -> None:
        """One planning round of a shard."""
        self.survey.survey(shard)
        self.allotment.allot(shard)
        self.gang_starter.start(work, shard)
        self.draining.evict_draining(shard)
        self.preemption.preempt(shard)
        self.reservations.reserve(shard)

    async def run_global_scheduling(self) -> None:
        """The leader gives out jobs that nobody kept; leaders move what another can start."""
        spent = 0.0
        while True:
            await trio.sleep(max(_LEAST_ROUND_S, min(self.agent_heartbeat_s, spent * _REST)))
            at = trio.current_time()
            try:
                token = self.membership.cluster_leader_token
                if token is not None:
                    await self.assignment.assign(token)
                await self.give_back.give_back()
                await self.service_migration.move()
                await self.rebalancing.rebalance()
                await self.rebalancing.balance_queues()
                await self.quota_transfer.move_shares()
                spent = min(self.agent_heartbeat_s, trio.current_time() - at)
            except StoreUnavailable as error:
                log.debug("split not written: %s", error)
                await trio.sleep(RETRY_INTERVAL_S)
