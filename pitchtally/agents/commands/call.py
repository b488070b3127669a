"""One call to an agent: the stops for its machine, and the status in its answer."""

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
from .builder import MAX_COMMANDS, CommandBuilder

log = logging.getLogger(__name__)

# The first call may name an epoch that is over; the answer gives the one for the second.
ATTEMPTS = 2
# Answers that carry a status; 409 is that to another epoch.
STATUS_ANSWERS = (200, 409)

_decode_status = msgspec.json.Decoder(agent_api.AgentHeartbeat).decode


class StatusObserver(Protocol):
    """Takes in the status that an agent reports."""

    def observe(
        self, status: agent_api.AgentHeartbeat, led_shard: LedShard, *, direct: bool
    ) -> Machine | None:
        """The machine if the status is news; `direct`: in an answer, not in a heartbeat."""


class CommandCall:
    """Calls an agent until it has answered under its present epoch."""

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
        """Send a machine's stop commands, if any, and take in its status.

        A machine that has not shown our fencing token yet gets that alone.
        """
        for _ in range(ATTEMPTS):
            if self._leadership.token(led_shard.shard) != led_shard.token:
                return
            commands = self._builder.stops(machine)[:MAX_COMMANDS] if machine.confirmed else []
            request = agent_api.CommandRequest(led_shard.token, max(1, machine.epoch), commands)
            try:
                response = await self._client.post_commands(machine.address, request)
                if response.status not in STATUS_ANSWERS:
                    return
                status = _decode_status(response.body)
            except (HttpError, msgspec.MsgspecError, ValueError) as error:
                log.debug("command call failed machine=%s: %s", machine.name, error)
                return
            if not self._take_status(status, machine, led_shard):
                return
            if response.status == 200:
                machine.ineffective_responses = 0  # commands reach it after all
                return

    def _take_status(
        self, status: agent_api.AgentHeartbeat, machine: Machine, led_shard: LedShard
    ) -> bool:
        """Take in the status of an answer; False if the machine isn't ours to command."""
        if status.machine != machine.name:
            return False
        if self._shards.get(led_shard.shard) is not led_shard:
            return False
        if status.token > led_shard.token:
            self._leadership.observe_token(led_shard.shard, status.token)
            return False
        self._observer.observe(status, led_shard, direct=True)
        return True
