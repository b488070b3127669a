"""Termination of machines: requested by several checks, executed by the cluster leader."""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import StrEnum

import trio

from ..protocol import cloud_api
from .cloud_client import CloudClient

log = logging.getLogger(__name__)

# How long peer heartbeats list a terminated machine.
TERMINATED_RETENTION_S = 120.0


class TerminationCause(StrEnum):
    """Why a machine is terminated."""

    FAILED = "failed"  # reported as failed by the cloud
    BOOT_TIMEOUT = "boot_timeout"
    NO_HEARTBEAT = "no_heartbeat"  # running according to the cloud, but has never sent a heartbeat
    HEARTBEAT_TIMEOUT = "heartbeat_timeout"
    PREEMPTED = "preempted"  # empty spot instance with a preemption notice
    QUARANTINED = "quarantined"  # empty, after tasks of several good jobs failed on it
    IDLE = "idle"


class Terminations:
    """Pending termination requests, and recently terminated machines."""

    def __init__(self, cloud: CloudClient, on_terminated: Callable[[str], None]):
        """`on_terminated`: called with a machine's name once the cloud has terminated it."""
        self._cloud = cloud
        self._on_terminated = on_terminated
        self._requested: dict[str, TerminationCause] = {}
        self._terminated_at: dict[str, float] = {}

    def request(self, name: str, cause: TerminationCause) -> None:
        """Queue a machine for termination by the next `flush`."""
        if name not in self._requested:
            log.info("terminating machine=%s cause=%s", name, cause)
            self._requested[name] = cause

    def is_terminated(self, name: str) -> bool:
        """Return whether the cloud has confirmed the termination recently."""
        return name in self._terminated_at

    def recent(self) -> list[str]:
        """Return the machines whose termination the cloud has confirmed recently."""
        now = trio.current_time()
        expired = [
            name
            for name, terminated_at in self._terminated_at.items()
            if now - terminated_at > TERMINATED_RETENTION_S
        ]
        for expired_name in expired:
            del self._terminated_at[expired_name]
        return list(self._terminated_at)

    async def flush(self, is_verified: Callable[[], bool]) -> None:
        """Terminate all queued machines while leadership is verified.

        Raises `CloudUnavailable`; the remaining machines stay queued for the next call.
        """
        while self._requested and is_verified():
            names = list(self._requested)[: cloud_api.MAX_MACHINES_PER_TERMINATION]
            await self._cloud.terminate(names)
            now = trio.current_time()
            for name in names:
                self._requested.pop(name, None)
                self._terminated_at[name] = now
                self._on_terminated(name)
