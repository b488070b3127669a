"""Detection of responses that do not reach an agent, by their missing effect."""

from __future__ import annotations

import logging

import trio

from ...protocol import agent_api
from ..machine import MAX_INEFFECTIVE_RESPONSES, Machine

log = logging.getLogger(__name__)


def check_last_response(
    machine: Machine, heartbeat: agent_api.AgentHeartbeat, lease_s: float
) -> None:
    """Update `machine.ineffective_responses` from a heartbeat that is about to be processed.

    An agent sends one heartbeat at a time, so the next one shows every command that reached it.
    No task starts on an unreachable machine until its responses have an effect again.
    """
    if (heartbeat.epoch, heartbeat.seq) <= (machine.epoch, machine.seq):
        return
    if heartbeat.epoch > machine.epoch:
        # The lease expired. If a response was sent within its term, it did not arrive.
        since_response = trio.current_time() - machine.lease_renewed_at
        ineffective = machine.confirmed and since_response < lease_s
        machine.ineffective_responses += int(ineffective) * (MAX_INEFFECTIVE_RESPONSES - 1)
    elif machine.awaited_commands:
        ineffective = not _shows_effect_of_any(heartbeat, machine.awaited_commands)
    else:
        return
    machine.awaited_commands = []
    machine.ineffective_responses = machine.ineffective_responses + 1 if ineffective else 0
    if machine.ineffective_responses == MAX_INEFFECTIVE_RESPONSES:
        log.info("agent unreachable machine=%s tasks=%d", machine.name, len(machine.placements))


def _shows_effect_of_any(
    heartbeat: agent_api.AgentHeartbeat, commands: list[agent_api.Command]
) -> bool:
    """Return whether any started task is listed, or any acknowledged one no longer is."""
    listed = {task.task: task.attempt for task in heartbeat.tasks}
    return any(
        (listed.get(command.task) == command.attempt) == (command.op == agent_api.START)
        for command in commands
    )
