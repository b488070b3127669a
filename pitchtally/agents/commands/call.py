"""One call to an agent, which sends stops and returns the agent's status."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Protocol

import msgspec

from ...http import HttpError
from ...protocol import agent_api
from ..led_shard import LedShard
from ..listener import Leadership
from ..machine import Machine
from .agent_client import AgentClient
from .builder import MAX_COMMANDS_PER_MESSAGE, CommandBuilder

log = logging.getLogger(__name__)

# The first call may name an ended epoch; its response gives the epoch for the second.
MAX_CALL_ATTEMPTS = 2
# HTTP statuses of responses that carry an agent status; 409 means that the epoch differs.
HTTP_CODES_WITH_AGENT_STATUS = (200, 409)

_decode_status = msgspec.json.Decoder(agent_api.AgentHeartbeat).decode


class StatusObserver(Protocol):
    """Processes the status that an agent reports."""

    def observe(
        self, status: agent_api.AgentHeartbeat, led_shard: LedShard, *, in_command_response: bool
    ) -> Machine | None:
        """Process a status, and return its machine if the status is newer than the last one.

        `in_command_response` is false for the status of a heartbeat.
        """


class CommandCall:
    """Calls an agent, and repeats the call under its present epoch if that differs."""

    def __init__(
        self,
        shards: Mapping[int, LedShard],
        leadership: Leadership,
        builder: CommandBuilder,
        observer: StatusObserver,
        client: AgentClient,
    ):
        self._shards = shards
        self._leadership = leadership
        self._builder = builder
        self._observer = observer
        self._client = client

    async def send(self, machine: Machine, led_shard: LedShard) -> None:
        """Send a machine's stop commands, if any, and process the status in the response.

        A machine that has not confirmed this node's fencing token yet is sent only the token.
        """
        for _ in range(MAX_CALL_ATTEMPTS):
            if self._leadership.token(led_shard.shard) != led_shard.token:
                return
            commands = (
                self._builder.stops(machine)[:MAX_COMMANDS_PER_MESSAGE] if machine.confirmed else []
            )
            request = agent_api.CommandRequest(led_shard.token, max(1, machine.epoch), commands)
            try:
                response = await self._client.post_commands(machine.address, request)
                if response.status not in HTTP_CODES_WITH_AGENT_STATUS:
                    return
                status = _decode_status(response.body)
            except (HttpError, msgspec.MsgspecError, ValueError) as error:
                log.debug("command call failed machine=%s: %s", machine.name, error)
                return
            if not self._process_status(status, machine, led_shard):
                return
            if response.status == 200:
                machine.ineffective_responses = 0  # commands reach the agent
                return

    def _process_status(
        self, status: agent_api.AgentHeartbeat, machine: Machine, led_shard: LedShard
    ) -> bool:
        """Process a response's status; return False if this node may not command the machine."""
        if status.machine != machine.name:
            return False
        if self._shards.get(led_shard.shard) is not led_shard:
            return False
        if status.token > led_shard.token:
            self._leadership.observe_token(led_shard.shard, status.token)
            return False
        self._observer.observe(status, led_shard, in_command_response=True)
        return True
