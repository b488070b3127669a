"""Client of the cloud provider's API, kept within the rate limit of the deployment."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import TypeVar

import msgspec

from ..config.policy import Policy
from ..config.settings import Settings, host_port
from ..http import Client, HttpError
from ..protocol import cloud_api
from ..state_store.rate_limits import Priority, TokenBucket

log = logging.getLogger(__name__)

# Share of the rate limit in use; the margin covers clock differences with the provider.
RATE_LIMIT_SHARE = 0.8

_T = TypeVar("_T")
_encode = msgspec.json.encode


class CloudUnavailable(Exception):
    """The cloud sent no usable response; the outcome of a launch is unknown."""


class InsufficientCapacity(Exception):
    """The cloud has no free machine of the requested group."""


class CloudErrorLog:
    """Logs errors of the cloud once for each cause, and the end of an outage."""

    def __init__(self) -> None:
        self._cause = ""

    def failed(self, cause: str) -> None:
        """Log a failed request, unless the last one failed for the same cause."""
        if cause != self._cause:
            log.info("cloud error cause=%s", cause[:80])
            self._cause = cause

    def recovered(self) -> None:
        """Log the end of an outage, if there was one."""
        if self._cause:
            log.info("cloud recovered")
            self._cause = ""


class CloudClient:
    """Typed calls; each raises `CloudUnavailable` if there is no usable response."""

    def __init__(self, settings: Settings, policy: Policy):
        self.errors = CloudErrorLog()
        self._address = host_port(settings.endpoints.cloud)
        self._timeout = policy.cloud_timeout
        rate = settings.deployment.cloud.rps * RATE_LIMIT_SHARE
        self._requests = TokenBucket(rate, rate)
        self._client = Client(max_idle_per_address=2)

    async def machine_types(self) -> list[cloud_api.MachineType]:
        """Return all machine types on offer; may also raise `InsufficientCapacity`."""
        body = await self._call("GET", "/flavors")
        return _decode(body, cloud_api.MachineTypeList).types

    async def machines(self) -> dict[str, cloud_api.ListedMachine]:
        """Return all machines that the cloud lists, by name."""
        machines: dict[str, cloud_api.ListedMachine] = {}
        last_name = ""
        while True:
            start = f"since={last_name}&" if last_name else ""
            body = await self._call(
                "GET", f"/machines?{start}limit={cloud_api.MACHINES_PER_LIST_PAGE}"
            )
            page = _decode(body, cloud_api.MachineList)
            machines.update((machine.name, machine) for machine in page.machines)
            if not page.more or not page.machines:
                return machines
            last_name = page.machines[-1].name

    async def launch(self, request: cloud_api.LaunchRequest) -> list[str]:
        """Launch machines and return their names, which may be fewer than requested.

        Idempotent by the name of the request. Raises `InsufficientCapacity` if no machine is
        available.
        """
        body = await self._call("POST", "/machines", _encode(request))
        return _decode(body, cloud_api.MachineNames).machines

    async def terminate(self, names: Iterable[str]) -> None:
        """Terminate machines; no task runs on them once this has returned."""
        await self._call("POST", "/machines/release", _encode(cloud_api.MachineNames(list(names))))

    async def _call(self, method: str, target: str, body: bytes = b"") -> bytes:
        """Send a request when the rate limit allows it, and return the response body."""
        await self._requests.acquire(Priority.PROGRESS)
        try:
            response = await self._client.call(
                self._address, method, target, body, timeout=self._timeout
            )
        except HttpError as error:
            self._client.drop(self._address)
            raise CloudUnavailable(str(error)) from None
        if response.status == 429:
            self._requests.penalize()
        if response.status == 503 and b"no capacity" in response.body:
            raise InsufficientCapacity
        if response.status != 200:
            raise CloudUnavailable(f"status {response.status}")
        return response.body


def _decode(body: bytes, message_type: type[_T]) -> _T:
    try:
        return msgspec.json.decode(body, type=message_type)
    except msgspec.MsgspecError as error:
        raise CloudUnavailable(str(error)) from None
