"""The client of the cloud's interface, within the limit that all nodes share."""

from __future__ import annotations

from ..config.policy import Policy
from ..config.settings import Settings, host_port
from ..http import Client, HttpError
from ..state_store.rate_limits import Priority, TokenBucket


class CloudUnavailable(Exception):
    """The cloud gave no usable answer."""


class InsufficientCapacity(Exception):
    """The cloud has no machine of the group that was asked for."""


class Cloud:
    """The cloud's interface, under a bucket for all nodes together."""

    def __init__(self, settings: Settings, policy: Policy):
        self.address = host_port(settings.endpoints.cloud)
        self.timeout = policy.cloud_timeout
        rate = settings.deployment.cloud.rps * 0.8
        self.bucket = TokenBucket(rate, rate)
        self.client = Client(max_idle_per_address=2)

    async def call(self, method: str, target: str, body: bytes = b"") -> bytes:
        """One request, once the shared limit allows it; the body of its answer."""
        await self.bucket.acquire(Priority.PROGRESS)
        try:
            response = await self.client.call(
                self.address, method, target, body, timeout=self.timeout
            )
        except HttpError as error:
            self.client.drop(self.address)
            raise CloudUnavailable(str(error)) from None
        if response.status == 429:
            self.bucket.penalize()
        if response.status == 503 and b"no capacity" in response.body:
            raise InsufficientCapacity
        if response.status != 200:
            raise CloudUnavailable(f"status {response.status}")
        return response.body
