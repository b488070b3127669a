"""Reconciliation of a machine's placements with the tasks that its agent lists.

The functions are free of side effects. `Reconciler` applies their results task by task, in the
agent's order, since the scheduler may change placements in response to each of them.
"""

from __future__ import annotations

from collections.abc import Mapping

import trio

from ...jobs.index import Job
from ...protocol import agent_api
from ..commands.queue import CommandQueue
from ..commands.task_control import TaskControl
from ..listener import LossCause, SchedulerConnection
from ..machine import Machine, Placement, TaskExit
from ..machine_index import MachineIndex
from ..task_keys import belongs_to_closed_job, job_id_of
from .task_exits import ExitHandler

ListedTasks = dict[str, agent_api.TaskStatus]  # keyed by task key


def missing_placements(
    machine: Machine,
    heartbeat: agent_api.AgentHeartbeat,
    listed: ListedTasks,
    *,
    in_command_response: bool,
) -> list[Placement]:
    """Return the placements whose tasks the agent lacks: it would list them otherwise."""
    missing = []
    for key, placement in machine.placements.items():
        task = listed.get(key)
        if task is not None and task.attempt == placement.attempt:
            continue
        if not placement.start_heartbeat_seq and not placement.observed:
            continue  # its start command has not been sent
        if not placement.observed and (
            in_command_response or heartbeat.seq <= placement.start_heartbeat_seq
        ):
            # Only the next heartbeat shows whether a start arrived: a command response may have
            # been made while the heartbeat response with the start was in transit.
            continue
        missing.append(placement)
    return missing


def retained_exits(machine: Machine, listed: ListedTasks) -> dict[str, TaskExit]:
    """Return the exits that the agent still lists; it has dropped the acknowledged ones."""
    return {
        key: task_exit
        for key, task_exit in machine.exits.items()
        if key in listed and listed[key].attempt == task_exit.attempt
    }


def adopted_placement(
    jobs: Mapping[str, Job], machine: Machine, key: str, task: agent_api.TaskStatus
) -> Placement | None:
    """Return a placement for a task that an earlier leader started; None if its job is not open."""
    id, _, number = key.rpartition("/")
    job = jobs.get(id)
    if job is None or not job.open or not number.isdigit():
        return None
    if int(number) >= job.record.tasks:
        return None
    placement = Placement(job, int(number), task.attempt, machine)
    placement.observed = True
    return placement


class Reconciler:
    """Applies what agents list to placements, exits and orphans."""

    def __init__(
        self,
        index: MachineIndex,
        jobs: Mapping[str, Job],
        task_control: TaskControl,
        exit_handler: ExitHandler,
        queue: CommandQueue,
        scheduler: SchedulerConnection,
    ):
        self._index = index
        self._jobs = jobs
        self._task_control = task_control
        self._exit_handler = exit_handler
        self._queue = queue
        self._scheduler = scheduler

    def reconcile(
        self, machine: Machine, heartbeat: agent_api.AgentHeartbeat, *, in_command_response: bool
    ) -> None:
        """Update a machine's placements, exits and orphans from a newer status."""
        listed = {task.task: task for task in heartbeat.tasks}
        for placement in missing_placements(
            machine, heartbeat, listed, in_command_response=in_command_response
        ):
            self._task_control.remove(placement, LossCause.MISSING)
        if machine.exits:
            machine.exits = retained_exits(machine, listed)
        machine.orphans.clear()
        for key, task in listed.items():
            known_placement = machine.placements.get(key)
            if known_placement is not None and known_placement.attempt != task.attempt:
                known_placement = None
            if task.state == agent_api.EXITED:
                self._process_exit(machine, known_placement, key, task)
            else:
                self._process_active_task(machine, known_placement, key, task)
        self._index.update_orphans(machine)
        if machine.orphans:
            self._queue.add(machine.name)

    def _process_exit(
        self, machine: Machine, placement: Placement | None, key: str, task: agent_api.TaskStatus
    ) -> None:
        if job_id_of(key) not in self._jobs:
            return  # the replica may lag; the agent lists the exit until it is acknowledged
        if key in machine.exits:
            return
        cause = task.cause or ""
        machine.exits[key] = TaskExit(task.attempt, cause)
        if placement is None:
            placement = adopted_placement(self._jobs, machine, key, task)
        if placement is not None:
            self._exit_handler.handle(placement, cause)

    def _process_active_task(
        self, machine: Machine, placement: Placement | None, key: str, task: agent_api.TaskStatus
    ) -> None:
        if placement is None:
            placement = adopted_placement(self._jobs, machine, key, task)
            if placement is None:
                # The job was cancelled while no node led the shard or received the machine's
                # status. A task of an unknown job continues: the replica may lag.
                if belongs_to_closed_job(self._jobs, key):
                    machine.orphans[key] = task.attempt
                return
            self._index.placements.put(placement)
            if not self._scheduler.listener.adopt(placement):
                placement.stop_grace = 0.0
        placement.observed = True
        if task.state != placement.state:
            placement.state = task.state
            if task.state == agent_api.RUNNING and placement.running_since is None:
                self._index.placements.mark_running(placement)
        if placement.spec.image:
            machine.cached_images[placement.spec.image] = trio.current_time()
