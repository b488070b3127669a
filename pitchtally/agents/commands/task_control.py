"""Stopping tasks, and removing placements once their tasks are confirmed as gone."""

from __future__ import annotations

import trio

from ..listener import LossCause, SchedulerConnection
from ..machine import Machine, Placement
from ..machine_index import MachineIndex
from .queue import CommandQueue


class TaskControl:
    """Marks tasks to stop and removes placements; `CommandBuilder` builds the stop commands."""

    def __init__(self, index: MachineIndex, queue: CommandQueue, scheduler: SchedulerConnection):
        self._index = index
        self._queue = queue
        self._scheduler = scheduler

    def stop(self, placement: Placement, grace: float) -> None:
        """Request a stop within `grace` seconds; a shorter grace replaces a longer one."""
        if not placement.start_heartbeat_seq and not placement.observed:
            # The start was never sent, so no machine runs the task.
            self.remove(placement, LossCause.NOT_COMMANDED)
            return
        if placement.stop_grace is None or grace < placement.stop_grace:
            placement.stop_grace = grace
            placement.stop_commanded_at = 0.0
            self._queue.add(placement.machine.name)

    def stop_job(self, id: str) -> None:
        """Request that all tasks of a cancelled job stop without grace."""
        for placement in self._index.placements.of_job(id):
            self.stop(placement, 0.0)

    def remove(self, placement: Placement, cause: str) -> None:
        """Remove the placement of a task that is confirmed as gone from its machine."""
        machine = placement.machine
        self._index.placements.drop(placement)
        if not machine.placements:
            machine.idle_since = trio.current_time()
        self._scheduler.listener.placement_lost(placement, cause)

    def remove_all(self, machine: Machine, cause: str) -> None:
        """Remove the placements, exits and orphans of a machine whose tasks are all gone."""
        for placement in list(machine.placements.values()):
            self.remove(placement, cause)
        self._index.clear_exits(machine)
