"""Reconciliation: what we know of a machine's tasks made to agree with what its agent lists.

The functions decide without side effects; `Reconciler` applies what they say, task by task in
the agent's order, since the scheduler's reactions may change placements in between.
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

ListedTasks = dict[str, agent_api.TaskStatus]  # by task key


def missing_placements(
    machine: Machine,
    heartbeat: agent_api.AgentHeartbeat,
    listed: ListedTasks,
    *,
    in_command_response: bool,
) -> list[Placement]:
    """Placements whose tasks the agent would list if it had them."""
    missing = []
    for key, placement in machine.placements.items():
        task = listed.get(key)
        if task is not None and task.attempt == placement.attempt:
            continue
        if not placement.start_heartbeat_seq and not placement.observed:
            continue  # decided, not commanded yet
        if not placement.observed and (
            in_command_response or heartbeat.seq <= placement.start_heartbeat_seq
        ):
            # Only the next heartbeat settles whether a start arrived: a direct answer may
            # have been made while our response was on its way.
            continue
        missing.append(placement)
    return missing


def retained_exits(machine: Machine, listed: ListedTasks) -> dict[str, TaskExit]:
    """The exits that the agent still lists: it has forgotten the others, as commanded."""
    return {
        key: task_exit
        for key, task_exit in machine.exits.items()
        if key in listed and listed[key].attempt == task_exit.attempt
    }


def adopted_placement(
    jobs: Mapping[str, Job], machine: Machine, key: str, task: agent_api.TaskStatus
) -> Placement | None:
    """The placement of a task that an earlier leader started; None unless its job goes on."""
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
        control: TaskControl,
        exits: ExitHandler,
        queue: CommandQueue,
        scheduler: SchedulerConnection,
    ):
        self._index = index
        self._jobs = jobs
        self._control = control
        self._exits = exits
        self._queue = queue
        self._scheduler = scheduler

    def reconcile(
        self, machine: Machine, heartbeat: agent_api.AgentHeartbeat, *, in_command_response: bool
    ) -> None:
        """Make what is known of a machine's tasks agree with a status newer than it."""
        listed = {task.task: task for task in heartbeat.tasks}
        for placement in missing_placements(
            machine, heartbeat, listed, in_command_response=in_command_response
        ):
            self._control.remove(placement, LossCause.MISSING)
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
            return  # the replica may be behind: the agent keeps the exit until acknowledged
        if key in machine.exits:
            return
        cause = task.cause or ""
        machine.exits[key] = TaskExit(task.attempt, cause)
        if placement is None:
            placement = adopted_placement(self._jobs, machine, key, task)
        if placement is not None:
            self._exits.handle(placement, cause)

    def _process_active_task(
        self, machine: Machine, placement: Placement | None, key: str, task: agent_api.TaskStatus
    ) -> None:
        if placement is None:
            placement = adopted_placement(self._jobs, machine, key, task)
            if placement is None:
                # Cancelled while nobody led the shard, and unheard of since. A task of an
                # unknown job is let be: the replica may be behind.
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
