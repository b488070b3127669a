"""HTTP client for the agents' own interface."""

from __future__ import annotations

import msgspec

from ...config.settings import MachineLimits, host_port
from ...http import Client, HttpError, Response
from ...protocol import agent_api

# Concurrent calls for stops, concurrent probes, and idle connections are each limited to one per
# this many sockets, since a shard may have more machines than there are sockets.
SOCKETS_PER_CALL = 30
MIN_CONCURRENT_CALLS = 8
IDLE_CONNECTION_TIMEOUT_S = 8.0

_encode = msgspec.json.encode


class AgentClient:
    """An HTTP client for agents, with a limit on concurrent calls."""

    def __init__(self, limits: MachineLimits, call_timeout: float):
        self.max_calls = max(MIN_CONCURRENT_CALLS, limits.max_connections // SOCKETS_PER_CALL)
        self._call_timeout = call_timeout
        self._client = Client(
            max_idle_per_address=1, max_idle=self.max_calls, idle_timeout=IDLE_CONNECTION_TIMEOUT_S
        )

    async def post_commands(self, address: str, request: agent_api.CommandRequest) -> Response:
        """Send commands to an agent. Raises HttpError, or ValueError if the address is invalid."""
        return await self._client.call(
            host_port(address), "POST", "/commands", _encode(request), timeout=self._call_timeout
        )

    async def is_answering(self, address: str) -> bool:
        """Return whether an agent answers within half the usual timeout."""
        try:
            response = await self._client.call(
                host_port(address), "GET", "/status", timeout=self._call_timeout / 2
            )
        except (HttpError, ValueError):
            return False
        return response.status == 200
