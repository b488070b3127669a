"""The state service: conditional commits, reads and leases.

A commit ends in one of four ways, and callers must tell them apart: committed,
refused by a condition, not executed, or unknown. Unknown ones are read back
before anything rests on them; a late one changes nothing, since every write is
conditional.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

import msgspec
import trio

from . import tokens, wire
from .http import Client, HttpError
from .settings import StateLimits, host_port

log = logging.getLogger("store")

T = TypeVar("T")


class StoreDown(Exception):
    """Not executed, or (unknown=True) perhaps executed: there was no answer."""

    def __init__(self, reason: str, *, unknown: bool = False):
        super().__init__(reason)
        self.unknown = unknown


class NoAnswer(StoreDown):
    """Nothing came back, in time or at all."""

    def __init__(self, reason: str):
        super().__init__(reason, unknown=True)


class Refused(StoreDown):
    """The store will not execute such a request: a value or a transaction is too large."""


class Conflict(Exception):
    """A condition failed; nothing was changed."""

    def __init__(self, failed: list[str]):
        super().__init__(", ".join(failed))
        self.failed = failed


class NoLease(Exception):
    """The lease has ended: a new one is needed."""


@dataclass(slots=True)
class Write:
    """A write, or a removal, within a transaction."""

    key: str
    value: bytes | None  # None: remove
    lease: int | None = None


_page = msgspec.json.Decoder(wire.StoredPage)
_events = msgspec.json.Decoder(wire.Events)
_revision = msgspec.json.Decoder(wire.Revision)
_lease = msgspec.json.Decoder(wire.LeaseGrant)
encode = msgspec.json.encode


class Store:
    """One node's client of the state service."""

    def __init__(self, address: str, limits: StateLimits, nodes: int, timeout: float):
        self.address = host_port(address)
        self.timeout = timeout
        # Nine tenths: other nodes' clocks and our own bursts never quite agree.
        share = 0.9 / nodes
        self.requests = tokens.Bucket(limits.rps * share, limits.rps * share)
        self.writes = tokens.Bucket(limits.write_rps * share, limits.write_rps * share)
        self.limits = limits
        self.client = Client(keep=8)
        self.answered_at = -1e9
        self.failing_since: float | None = None
        self._told: set[str] = set()  # causes of unusable answers, each logged once

    def share_among(self, nodes: int) -> None:
        """The limits are for all nodes together: those that live share them."""
        share = 0.9 / max(1, nodes)
        self.requests.resize(self.limits.rps * share)
        self.writes.resize(self.limits.write_rps * share)

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        priority: int,
        timeout: float | None = None,
        on_sent: Callable[[], None] | None = None,
    ) -> tuple[int, bytes]:
        await self.requests.take(priority)
        if on_sent is not None:
            on_sent()
        sent = trio.current_time()
        try:
            response = await self.client.call(
                self.address, method, target, body, timeout=timeout or self.timeout
            )
        except HttpError as error:
            self.client.drop(self.address)
            self._failed(sent)
            raise NoAnswer(str(error)) from None
        if response.status == 429:
            self.requests.penalty()
            if method == "POST" and target == "/commit":
                self.writes.penalty()
            raise StoreDown("over its limit")
        if response.status >= 500:
            self._failed(sent)
            raise StoreDown(f"status {response.status}")
        self.failing_since = None
        self.answered_at = max(self.answered_at, sent)
        return response.status, response.body

    def _failed(self, sent: float) -> None:
        if self.failing_since is None and sent > self.answered_at:
            self.failing_since = sent

    async def page(self, prefix: str, after: str | None) -> wire.StoredPage:
        """A page of keys with a prefix, after a key."""
        since = f"&since={after}" if after else ""
        status, body = await self._call(
            "GET", f"/store?starts={prefix}{since}&limit=500", priority=tokens.LEASES
        )
        if status != 200:
            raise StoreDown(f"status {status}")
        return self._decode(_page, body)

    async def commit(
        self,
        conditions: dict[str, int],
        changes: Sequence[Write],
        *,
        priority: int,
        on_sent: Callable[[], None] | None = None,
    ) -> int:
        """Commit and return the revision; raises Conflict, NoLease or StoreDown."""
        puts: list[wire.Put | wire.Delete] = []
        for change in changes:
            if change.value is None:
                puts.append(wire.Delete(change.key))
            else:
                puts.append(wire.Put(change.key, msgspec.Raw(change.value), change.lease))
        body = encode(wire.Transaction([wire.Condition(k, v) for k, v in conditions.items()], puts))
        if changes:
            await self.writes.take(priority, len(changes))
        status, answer = await self._call(
            "POST", "/commit", body, priority=priority, on_sent=on_sent
        )
        if status == 200:
            return self._decode(_revision, answer).revision
        if status == 409:
            raise Conflict(self._decode(_revision, answer).failed)
        if status == 400 and b"lease" in answer:
            raise NoLease
        if status == 400:
            raise Refused(f"status {status}: {answer[:100]!r}")
        raise StoreDown(f"status {status}: {answer[:100]!r}")

    async def grant(self, ttl: float) -> int:
        """A new lease."""
        body = encode(wire.LeaseRequest(int(ttl * 1000)))
        status, answer = await self._call("POST", "/leases", body, priority=tokens.LEASES)
        if status != 200:
            raise StoreDown(f"status {status}")
        return self._decode(_lease, answer).lease

    async def renew(self, lease: int) -> None:
        """Renew a lease; NoLease if it has ended."""
        status, _ = await self._call("POST", f"/leases/{lease}/extend", priority=tokens.LEASES)
        if status == 404:
            raise NoLease
        if status != 200:
            raise StoreDown(f"status {status}")

    async def follow(
        self,
        prefix: str,
        after: int,
        wait: float,
        *,
        priority: int = tokens.LEASES,
        timeout: float | None = None,
        on_sent: Callable[[], None] | None = None,
    ) -> wire.Events | None:
        """Changes after a revision; None if that is too old and keys must be read again.

        Without a change the store answers after `wait` seconds; with 0 at once. `timeout`
        is for the answer, those seconds apart. Raises StoreDown, also for an answer that
        is older than its question.
        """
        status, body = await self._call(
            "GET",
            f"/follow?starts={prefix}&since={after}&waitMs={int(wait * 1000)}",
            priority=priority,
            timeout=wait + (timeout or self.timeout),
            on_sent=on_sent,
        )
        if status == 410:
            return None
        if status != 200:
            raise StoreDown(f"status {status}")
        events = self._decode(_events, body)
        if events.revision < after:
            # Whoever asked knew more already: this was the answer to another question.
            self._tell_once("answer older than its question")
            raise StoreDown("answer older than its question")
        return events

    def _tell_once(self, cause: str) -> None:
        if cause not in self._told:
            self._told.add(cause)
            log.info("unusable answer cause=%s", cause)

    def _decode(self, decoder: msgspec.json.Decoder[T], body: bytes) -> T:
        try:
            return decoder.decode(body)
        except msgspec.MsgspecError as error:
            self._tell_once("rubbish")
            raise StoreDown(f"rubbish: {error}", unknown=True) from None
