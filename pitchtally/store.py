"""The state service: conditional commits, reads, leases, and a followed copy.

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
_item = msgspec.json.Decoder(wire.StoredItem)
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
    ) -> tuple[int, bytes]:
        await self.requests.take(priority)
        sent = trio.current_time()
        try:
            response = await self.client.call(
                self.address, method, target, body, timeout=timeout or self.timeout
            )
        except HttpError as error:
            self.client.drop(self.address)
            self._failed(sent)
            raise StoreDown(str(error), unknown=True) from None
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

    async def revision(self) -> int:
        """The store's present revision, by the smallest read there is."""
        status, body = await self._call("GET", "/store/pt/absent", priority=tokens.COMPLETIONS)
        if status != 404:
            raise StoreDown(f"status {status} for an absent key")
        return self._decode(_revision, body).revision

    async def get(self, key: str) -> wire.StoredItem | None:
        """One key; None if it is absent."""
        status, body = await self._call("GET", f"/store/{key}", priority=tokens.COMPLETIONS)
        if status == 404:
            return None
        return self._decode(_item, body)

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
        if on_sent is not None:
            on_sent()
        status, answer = await self._call("POST", "/commit", body, priority=priority)
        if status == 200:
            return self._decode(_revision, answer).revision
        if status == 409:
            raise Conflict(self._decode(_revision, answer).failed)
        if status == 400 and b"lease" in answer:
            raise NoLease
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

    async def follow(self, prefix: str, after: int, wait: float) -> wire.Events | None:
        """Changes after a revision; None if that is too old and keys must be read again."""
        status, body = await self._call(
            "GET",
            f"/follow?starts={prefix}&since={after}&waitMs={int(wait * 1000)}",
            priority=tokens.LEASES,
            timeout=wait + self.timeout,
        )
        if status == 410:
            return None
        if status != 200:
            raise StoreDown(f"status {status}")
        return self._decode(_events, body)

    @staticmethod
    def _decode(decoder: msgspec.json.Decoder[T], body: bytes) -> T:
        try:
            return decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise StoreDown(f"rubbish: {error}", unknown=True) from None


Listener = Callable[[str, bytes | None, int], None]


class Replica:
    """A copy of all our keys, kept up by one watch.

    `seen` is the revision up to which the copy is whole. Own commits are applied
    at once, ahead of the watch; a version number per key keeps the order right.
    """

    PREFIX = "pt/"

    def __init__(self, store: Store, pause: float, wait: float):
        self.store = store
        self.pause = pause
        self.wait = wait
        self.seen = -1
        self.versions: dict[str, int] = {}
        self.listeners: list[tuple[str, Listener]] = []
        self.progress = trio.Event()
        self.fresh_at = -1e9  # a request sent at this time has confirmed the copy

    def listen(self, prefix: str, listener: Listener) -> None:
        """Have a listener told of every change below a prefix."""
        self.listeners.append((self.PREFIX + prefix, listener))

    def version(self, key: str) -> int:
        """A key's version in the copy, 0 if absent."""
        return self.versions.get(key, 0)

    def _apply(self, key: str, value: bytes | None, version: int) -> None:
        if value is None:
            if self.versions.pop(key, None) is None:
                return
        else:
            if self.versions.get(key, 0) >= version:
                return
            self.versions[key] = version
        for prefix, listener in self.listeners:
            if key.startswith(prefix):
                try:
                    listener(key[len(prefix) :], value, version)
                except Exception:
                    # A record that one slice cannot read must not stop the copy.
                    log.exception("listener fault key=%s", key)

    def own(self, changes: Sequence[Write], revision: int) -> None:
        """Apply a commit of ours; one the watch has passed already is left alone."""
        if revision <= self.seen:
            return
        for change in changes:
            if change.value is not None:
                self._apply(change.key, change.value, revision)

    def learn(self, key: str, value: bytes, version: int) -> None:
        """A change that the store has committed, as a peer's copy shows it."""
        self._apply(key, value, version)

    async def load(self) -> None:
        """Read everything; keys that vanished meanwhile are dropped."""
        found: set[str] = set()
        after: str | None = None
        revision: int | None = None
        while True:
            page = await self.store.page(self.PREFIX, after)
            # The watch goes on from the first page: later changes are seen again.
            revision = page.revision if revision is None else revision
            for item in page.items:
                found.add(item.key)
                self._apply(item.key, bytes(item.value), item.version)
            if not page.more or not page.items:
                break
            after = page.items[-1].key
        for key in [k for k, v in self.versions.items() if k not in found and v <= revision]:
            self._apply(key, None, revision)
        self._advance(revision)

    def _advance(self, revision: int) -> None:
        self.seen = max(self.seen, revision)
        self.progress.set()
        self.progress = trio.Event()

    async def run(self) -> None:
        """Follow for ever, reading everything anew whenever the thread is lost."""
        delay = self.pause
        while True:
            try:
                sent = trio.current_time()
                if self.seen < 0:
                    await self.load()
                else:
                    events = await self.store.follow(self.PREFIX, self.seen, self.wait)
                    if events is None:
                        log.info("watch too old, reading again")
                        await self.load()
                    else:
                        # An answer after a silent wait vouches for its end, not its start;
                        # only the sending time is certain.
                        for event in events.events:
                            if event.put is not None:
                                self._apply(event.put, bytes(event.value), event.version)
                            elif event.delete is not None:
                                if self.versions.get(event.delete, 0) <= event.version:
                                    self._apply(event.delete, None, event.version)
                        self._advance(events.revision)
                self.fresh_at = sent
                delay = self.pause
            except StoreDown as error:
                log.debug("watch: %s", error)
                delay = min(delay * 2, 1.0)
            await trio.sleep(delay)

    async def catch_up(self, revision: int, timeout: float) -> bool:
        """Wait until the copy covers a revision; False if it doesn't in time."""
        with trio.move_on_after(timeout):
            while self.seen < revision:
                await self.progress.wait()
            return True
        return False
