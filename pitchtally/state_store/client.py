"""The state store: conditional commits, reads and leases.

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

from ..config.settings import StateLimits, host_port
from ..http import Client, HttpError
from ..protocol import state_store_api
from . import rate_limits
from .errors import (
    CompareFailed,
    InvalidTransaction,
    LeaseExpired,
    NoResponse,
    OutcomeUnknown,
    StoreUnavailable,
)

log = logging.getLogger("store")

T = TypeVar("T")


@dataclass(slots=True)
class Write:
    """A write, or a removal, within a transaction."""

    key: str
    value: bytes | None  # None: remove
    lease: int | None = None


_page = msgspec.json.Decoder(state_store_api.StoredPage)
_events = msgspec.json.Decoder(state_store_api.Events)
_revision = msgspec.json.Decoder(state_store_api.Revision)
_lease = msgspec.json.Decoder(state_store_api.LeaseGrant)
encode = msgspec.json.encode


class StateStoreClient:
    """One node's client of the state store."""

    def __init__(self, address: str, limits: StateLimits, nodes: int, timeout: float):
        self.address = host_port(address)
        self.timeout = timeout
        # Nine tenths: other nodes' clocks and our own bursts never quite agree.
        share = 0.9 / nodes
        self.requests = rate_limits.TokenBucket(limits.rps * share, limits.rps * share)
        self.writes = rate_limits.TokenBucket(limits.write_rps * share, limits.write_rps * share)
        self.limits = limits
        self.client = Client(max_idle_per_address=8)
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
            raise NoResponse(str(error)) from None
        if response.status == 429:
            self.requests.penalty()
            if method == "POST" and target == "/commit":
                self.writes.penalty()
            raise StoreUnavailable("over its limit")
        if response.status >= 500:
            self._failed(sent)
            raise StoreUnavailable(f"status {response.status}")
        self.failing_since = None
        self.answered_at = max(self.answered_at, sent)
        return response.status, response.body

    def _failed(self, sent: float) -> None:
        if self.failing_since is None and sent > self.answered_at:
            self.failing_since = sent

    async def page(self, prefix: str, after: str | None) -> state_store_api.StoredPage:
        """A page of keys with a prefix, after a key."""
        since = f"&since={after}" if after else ""
        status, body = await self._call(
            "GET", f"/store?starts={prefix}{since}&limit=500", priority=rate_limits.LEASES
        )
        if status != 200:
            raise StoreUnavailable(f"status {status}")
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
        puts: list[state_store_api.Put | state_store_api.Delete] = []
        for change in changes:
            if change.value is None:
                puts.append(state_store_api.Delete(change.key))
            else:
                puts.append(
                    state_store_api.Put(change.key, msgspec.Raw(change.value), change.lease)
                )
        body = encode(
            state_store_api.Transaction(
                [state_store_api.Precondition(k, v) for k, v in conditions.items()], puts
            )
        )
        if changes:
            await self.writes.take(priority, len(changes))
        status, answer = await self._call(
            "POST", "/commit", body, priority=priority, on_sent=on_sent
        )
        if status == 200:
            return self._decode(_revision, answer).revision
        if status == 409:
            raise CompareFailed(self._decode(_revision, answer).failed)
        if status == 400 and b"lease" in answer:
            raise LeaseExpired
        if status == 400:
            raise InvalidTransaction(f"status {status}: {answer[:100]!r}")
        raise StoreUnavailable(f"status {status}: {answer[:100]!r}")

    async def grant(self, ttl: float) -> int:
        """A new lease."""
        body = encode(state_store_api.LeaseRequest(int(ttl * 1000)))
        status, answer = await self._call("POST", "/leases", body, priority=rate_limits.LEASES)
        if status != 200:
            raise StoreUnavailable(f"status {status}")
        return self._decode(_lease, answer).lease

    async def renew(self, lease: int) -> None:
        """Renew a lease; NoLease if it has ended."""
        status, _ = await self._call("POST", f"/leases/{lease}/extend", priority=rate_limits.LEASES)
        if status == 404:
            raise LeaseExpired
        if status != 200:
            raise StoreUnavailable(f"status {status}")

    async def follow(
        self,
        prefix: str,
        after: int,
        wait: float,
        *,
        priority: int = rate_limits.LEASES,
        timeout: float | None = None,
        on_sent: Callable[[], None] | None = None,
    ) -> state_store_api.Events | None:
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
            raise StoreUnavailable(f"status {status}")
        events = self._decode(_events, body)
        if events.revision < after:
            # Whoever asked knew more already: this was the answer to another question.
            self._tell_once("answer older than its question")
            raise StoreUnavailable("answer older than its question")
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
            raise OutcomeUnknown(f"rubbish: {error}") from None
