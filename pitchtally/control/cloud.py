"""The client of the cloud's interface, within the limit that all nodes share."""

from __future__ import annotations

from .. import tokens
from ..http import Client, HttpError
from ..policy import Policy
from ..settings import Settings, host_port


class CloudDown(Exception):
    """The cloud gave no usable answer."""


class NoCapacity(Exception):
    """The cloud has no machine of the group that was asked for."""


class Cloud:
    """The cloud's interface, under a bucket for all nodes together."""

    def __init__(self, settings: Settings, policy: Policy):
        self.address = host_port(settings.endpoints.cloud)
        self.timeout = policy.cloud_timeout
        rate = settings.deployment.cloud.rps * 0.8
        self.bucket = tokens.Bucket(rate, rate)
        self.client = Client(keep=2)

    async def call(self, method: str, target: str, body: bytes = b"") -> bytes:
        """One request, once the shared limit allows it; the body of its answer."""
        await self.bucket.take(tokens.PROGRESS)
        try:
            response = await self.client.call(
                self.address, method, target, body, timeout=self.timeout
            )
        except HttpError as error:
            self.client.drop(self.address)
            raise CloudDown(str(error)) from None
        if response.status == 429:
            self.bucket.penalty()
        if response.status == 503 and b"no capacity" in response.body:
            raise NoCapacity
        if response.status != 200:
            raise CloudDown(f"status {response.status}")
        return response.body
