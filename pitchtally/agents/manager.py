"""Composition of a controller's agent components, and their interface to other packages."""

from __future__ import annotations

from ..config.policy import Policy
from ..config.settings import Settings
from ..jobs.commits import JobCommits
from ..jobs.index import JobIndex
from ..membership.membership import Membership
from ..observability.decision_log import DecisionListener
from .commands.agent_client import AgentClient
from .commands.builder import CommandBuilder
from .commands.call import CommandCall
from .commands.queue import CommandQueue
from .commands.sender import CommandSender
from .commands.task_control import TaskControl
from .heartbeats.endpoint import HeartbeatEndpoint
from .heartbeats.reconciliation import Reconciler
from .heartbeats.status_intake import StatusIntake
from .heartbeats.task_exits import ExitHandler
from .lease_expiry import LeaseExpiry
from .led_shard import LedShard
from .listener import AgentListener, LossCause, SchedulerConnection, TaskStarter
from .machine_index import MachineIndex, MachineTypeLookup
from .machine_records import MachineRecords
from .reachability import AgentReachability
from .shard_recovery import ShardRecovery

# Passes of the command sender over suspect and unreachable machines per heartbeat interval.
PROBES_PER_HEARTBEAT = 3


class AgentManager:
    """Composes the components that manage agents.

    Other packages read `machines`, `placements`, `shards`, `terminated` and
    `machines_with_orphans`; only the components change them, except that the scheduler adds new
    placements. Methods implemented by a single component are bound here as attributes, which
    saves a call for those on the heartbeat path.
    """

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        membership: Membership,
        job_index: JobIndex,
        commits: JobCommits,
        machine_types: MachineTypeLookup,
        on_decision: DecisionListener,
    ):
        """Initialise with eight parameters: only here are all components' dependencies passed."""
        deployment = settings.deployment
        times = deployment.workers
        self._scheduler = SchedulerConnection()
        self._queue = CommandQueue()
        self.shards: dict[int, LedShard] = {}
        self.index = MachineIndex(deployment.count, machine_types)
        self.machines = self.index.machines
        self.placements = self.index.placements
        self.terminated = self.index.terminated
        self.machines_with_orphans = self.index.machines_with_orphans
        self.task_control = TaskControl(self.index, self._queue, self._scheduler)
        self.records = MachineRecords(
            self.index,
            self.shards,
            commits,
            job_index.gate,
            deployment.effective_state_limits,
            times.report_s,
        )
        self.recovery = ShardRecovery(
            self.index, self.shards, self.records, commits.replica, self._scheduler
        )
        self.lease_expiry = LeaseExpiry(
            self.index, self.shards, self.task_control, membership, times, policy.silence
        )
        client = AgentClient(deployment.machine_limits, policy.call_timeout)
        self.reachability = AgentReachability(self.index, self.records, client, membership, times)
        intake = self._compose_intake(job_index)
        builder = CommandBuilder(
            self.shards, job_index.jobs, membership, self._scheduler, times.report_s, on_decision
        )
        self.endpoint = HeartbeatEndpoint(
            self.index, self.shards, membership, membership, intake, builder, times.lease_s
        )
        call = CommandCall(self.shards, membership, builder, intake, client)
        interval = times.report_s / PROBES_PER_HEARTBEAT
        self.command_sender = self._compose_sender(call, interval, client.max_calls)
        self.serve = self.endpoint.serve
        self.of_shard = self.index.of_shard
        self.stop = self.task_control.stop
        self.stop_job = self.task_control.stop_job

    def _compose_intake(self, job_index: JobIndex) -> StatusIntake:
        reconciler = Reconciler(
            self.index,
            job_index.jobs,
            self.task_control,
            ExitHandler(self.task_control, self._scheduler),
            self._queue,
            self._scheduler,
        )
        return StatusIntake(
            self.index,
            self.task_control,
            reconciler,
            self.recovery,
            self.records,
            self.reachability,
        )

    def _compose_sender(self, call: CommandCall, interval: float, max_calls: int) -> CommandSender:
        return CommandSender(
            self.index, self.shards, self._queue, call, self.recovery.load, interval, max_calls
        )

    def connect(self, listener: AgentListener, starter: TaskStarter) -> None:
        """Connect the scheduler as the listener for changes and as the source of task starts."""
        self._scheduler.listener = listener
        self._scheduler.starter = starter

    def shard_acquired(self, shard: int, token: int) -> None:
        """Start leading a shard under a new fencing token."""
        self.recovery.acquire(shard, token)
        self._queue.wake()

    def shard_lost(self, shard: int) -> None:
        """Stop leading a shard."""
        self.recovery.release(shard)

    def machine_terminated(self, name: str) -> None:
        """Remove a machine, with its tasks, that the cloud has confirmed as terminated."""
        self.terminated.add(name)
        machine = self.machines.get(name)
        if machine is None:
            return
        led_shard = self.shards.get(machine.shard)
        self.task_control.remove_all(machine, LossCause.TERMINATED)
        self.index.remove(name)
        if led_shard is not None:
            self.recovery.clear_suspect(led_shard, machine)
        self.records.request_write()
