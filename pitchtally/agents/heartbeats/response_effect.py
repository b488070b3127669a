"""Whether responses reach an agent: that one was sent proves nothing."""

from __future__ import annotations

import logging

import trio

from ...protocol import agent_api
from ..machine import MAX_INEFFECTIVE_RESPONSES, Machine

log = logging.getLogger(__name__)


def check_last_response(
    machine: Machine, heartbeat: agent_api.AgentHeartbeat, lease_s: float
) -> None:
    """Update `machine.ineffective_responses` by a heartbeat that is about to be taken in.

    An agent sends one heartbeat at a time, so the next one shows every command that reached it.
    A machine that hears nothing takes no more work until it does.
    """
    if (heartbeat.epoch, heartbeat.seq) <= (machine.epoch, machine.seq):
        return
    if heartbeat.epoch > machine.epoch:
        # Its lease expired. If we responded within it, the response didn't arrive.
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
    """Whether any started task is listed, or any acknowledged one isn't any more."""
    listed = {task.task: task.attempt for task in heartbeat.tasks}
    return any(
        (listed.get(command.task) == command.attempt) == (command.op == agent_api.START)
        for command in commands
    )
