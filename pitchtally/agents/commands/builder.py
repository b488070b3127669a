"""Builds the commands for an agent from the state of its machine."""

from __future__ import annotations

from collections.abc import Mapping

import trio

from ...jobs.index import Job
from ...observability.decision_log import Decision, DecisionListener, DecisionReason
from ...protocol import agent_api
from ..led_shard import LedShard
from ..listener import Freshness, SchedulerConnection
from ..machine import Machine, Placement
from ..task_keys import belongs_to_closed_job

# Agents read lines of at most 64 KiB; commands beyond this number wait for the next message.
MAX_COMMANDS_PER_MESSAGE = 500
# A task still present after this many grace periods plus the margin is stopped without grace.
OVERDUE_GRACE_PERIODS = 2
OVERDUE_MARGIN_S = 5


class CommandBuilder:
    """Builds the commands for heartbeat responses and calls, and records that they were sent."""

    def __init__(
        self,
        shards: Mapping[int, LedShard],
        jobs: Mapping[str, Job],
        freshness: Freshness,
        scheduler: SchedulerConnection,
        acknowledge_interval: float,
        on_decision: DecisionListener,
    ):
        """`acknowledge_interval`: minimum seconds between acknowledgements sent without starts."""
        self._shards = shards
        self._jobs = jobs
        self._freshness = freshness
        self._scheduler = scheduler
        self._acknowledge_interval = acknowledge_interval
        self._on_decision = on_decision

    def for_heartbeat(
        self, machine: Machine, heartbeat: agent_api.AgentHeartbeat
    ) -> list[agent_api.Command]:
        """Return the commands for a heartbeat response: stops, acknowledgements, then starts."""
        now = trio.current_time()
        commands = self.stops(machine)
        starts = self._starts(machine, heartbeat, now)
        # Each acknowledged exit makes the agent report a change. With a start this costs nothing
        # extra; without one, acknowledging once per heartbeat interval is enough.
        if starts or now - machine.exits_acknowledged_at >= self._acknowledge_interval:
            acknowledgements = self._acknowledgements(machine)
            if acknowledgements:
                machine.exits_acknowledged_at = now
                commands += acknowledgements
        commands += starts
        if len(commands) <= MAX_COMMANDS_PER_MESSAGE:
            return commands
        self._postpone_starts(machine, commands[MAX_COMMANDS_PER_MESSAGE:])
        return commands[:MAX_COMMANDS_PER_MESSAGE]

    def stops(self, machine: Machine) -> list[agent_api.Command]:
        """Return stop commands for all tasks that must end on a machine."""
        now = trio.current_time()
        commands = []
        for key, placement in machine.placements.items():
            if not placement.job.open:
                placement.stop_grace = 0.0
            if placement.stop_grace is None:
                continue
            # An overdue task has had time to save its work, and its capacity is needed.
            overdue = (
                placement.stop_commanded_at
                and now - placement.stop_commanded_at
                > placement.stop_grace * OVERDUE_GRACE_PERIODS + OVERDUE_MARGIN_S
            )
            grace = 0.0 if overdue else placement.stop_grace
            if not placement.stop_commanded_at:
                placement.stop_commanded_at = now
                self._log_decision(Decision.STOP, placement)
            commands.append(agent_api.Command(agent_api.STOP, key, placement.attempt, grace))
        commands += [
            agent_api.Command(agent_api.STOP, key, attempt, 0.0)
            for key, attempt in machine.orphans.items()
        ]
        return commands

    def stops_of_closed_jobs(self, heartbeat: agent_api.AgentHeartbeat) -> list[agent_api.Command]:
        """Return stop commands for listed tasks of ended jobs, whichever attempt they are."""
        return [
            agent_api.Command(agent_api.STOP, task.task, task.attempt, 0.0)
            for task in heartbeat.tasks
            if task.state != agent_api.EXITED and belongs_to_closed_job(self._jobs, task.task)
        ][:MAX_COMMANDS_PER_MESSAGE]

    def _starts(
        self, machine: Machine, heartbeat: agent_api.AgentHeartbeat, now: float
    ) -> list[agent_api.Command]:
        commands: list[agent_api.Command] = []
        if not machine.schedulable or not self._freshness.may_start_tasks():
            return commands
        for placement in self._scheduler.starter.schedule_on(machine):
            placement.start_heartbeat_seq = heartbeat.seq
            placement.placed_at = now
            self._log_decision(Decision.START, placement)
            commands.append(agent_api.Command(agent_api.START, placement.key, placement.attempt))
        return commands

    def _acknowledgements(self, machine: Machine) -> list[agent_api.Command]:
        return [
            agent_api.Command(agent_api.ACKNOWLEDGE, key, task_exit.attempt)
            for key, task_exit in machine.exits.items()
            if task_exit.cause != agent_api.DONE or self._is_durable(key)
        ]

    def _is_durable(self, key: str) -> bool:
        """Return whether a task's success is stored; until then the agent must keep listing it."""
        id, _, number = key.rpartition("/")
        job = self._jobs.get(id)
        if job is None or not job.open or job.service:
            return True
        return int(number) in job.finished

    @staticmethod
    def _postpone_starts(machine: Machine, dropped: list[agent_api.Command]) -> None:
        for command in dropped:
            if command.op != agent_api.START:
                continue
            placement = machine.placements.get(command.task)
            if placement is not None:
                placement.start_heartbeat_seq = 0

    def _log_decision(self, decision: Decision, placement: Placement) -> None:
        led_shard = self._shards.get(placement.machine.shard)
        reason = DecisionReason(
            placement.job.version,
            token=led_shard.token if led_shard is not None else None,
            machine=placement.machine.name,
        )
        self._on_decision(decision, placement.key, reason)
