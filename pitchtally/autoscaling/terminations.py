"""Termination of machines: requested by several checks, carried out by the cluster leader."""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import StrEnum

import trio

from ..protocol import cloud_api
from .cloud_client import CloudClient

log = logging.getLogger(__name__)

# Seconds for which peers are told that a machine is terminated.
TERMINATED_RETENTION_S = 120.0


class TerminationCause(StrEnum):
    """Why a machine is terminated."""

    FAILED = "failed"  # says the cloud
    BOOT_TIMEOUT = "boot_timeout"
    NO_HEARTBEAT = "no_heartbeat"  # it is up, but no heartbeat has come ever
    HEARTBEAT_TIMEOUT = "heartbeat_timeout"
    PREEMPTED = "preempted"  # the provider takes the spot instance back, and it is empty
    QUARANTINED = "quarantined"  # tasks of several good jobs failed on it, and it is empty
    IDLE = "idle"


class Terminations:
    """Machines that are to be terminated, and those that were of late."""

    def __init__(self, cloud: CloudClient, on_terminated: Callable[[str], None]):
        """`on_terminated`: called with the name once nothing runs on a machine any more."""
        self._cloud = cloud
        self._on_terminated = on_terminated
        self._requested: dict[str, TerminationCause] = {}
        self._terminated_at: dict[str, float] = {}

    def request(self, name: str, cause: TerminationCause) -> None:
        """Have a machine terminated in the next `flush`."""
        if name not in self._requested:
            log.info("terminating machine=%s cause=%s", name, cause)
            self._requested[name] = cause

    def is_terminated(self, name: str) -> bool:
        """Whether the cloud has confirmed that the machine is gone."""
        return name in self._terminated_at

    def recent(self) -> list[str]:
        """Machines that the cloud has confirmed gone of late."""
        now = trio.current_time()
        expired = [
            name
            for name, terminated_at in self._terminated_at.items()
            if now - terminated_at > TERMINATED_RETENTION_S
        ]
        for name in expired:
            del self._terminated_at[name]
        return list(self._terminated_at)

    async def flush(self, is_verified: Callable[[], bool]) -> None:
        """Terminate what was requested, while leadership is verified.

        Raises `CloudUnavailable`; what is left is tried again by the next call.
        """
        while self._requested and is_verified():
            names = list(self._requested)[: cloud_api.MAX_TERMINATE]
            await self._cloud.terminate(names)
            now = trio.current_time()
            for name in names:
                self._requested.pop(name, None)
                self._terminated_at[name] = now
                self._on_terminated(name)
