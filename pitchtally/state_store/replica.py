"""This controller's copy of its keys in the state store, kept up by a watch.

Besides the watch, any caller may bring the copy up to the store's present by a read of
its own (`Replica.refresh`). Answers may come in any order, long after newer ones: what an
answer holds is taken in by revision, never by when it came.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import trio

from ..protocol import state_store_api
from . import keys, rate_limits
from .client import LONG_AGO, StateStoreClient, Write
from .errors import StoreUnavailable

log = logging.getLogger("replica")

Listener = Callable[[str, bytes | None, int], None]


@dataclass(frozen=True, slots=True)
class Refresh:
    """A read of the store that the copy covers."""

    revision: int  # the store's, as it answered
    asked_at: float  # steady clock, seconds
    answered_at: float


class Replica:
    """A copy of all our keys, kept up by one watch.

    `seen` is the revision up to which the copy is whole. Own commits are applied
    at once, ahead of the watch; a version number per key keeps the order right.
    """

    def __init__(self, state_store: StateStoreClient, pause: float, wait: float):
        self.state_store = state_store
        self.pause = pause
        self.wait = wait
        self.revision = -1
        self.versions: dict[str, int] = {}
        self.listeners: list[tuple[str, Listener]] = []
        self.verified_at = LONG_AGO  # a request sent at this time has confirmed the copy

    def listen(self, prefix: str, listener: Listener) -> None:
        """Have a listener told of every change below a prefix."""
        self.listeners.append((keys.ROOT + prefix, listener))

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

    def apply_own_commit(self, changes: Sequence[Write], revision: int) -> None:
        """Apply a commit of ours; one the watch has passed already is left alone."""
        if revision <= self.revision:
            return
        for change in changes:
            if change.value is not None:
                self._apply(change.key, change.value, revision)

    def learn(self, key: str, value: bytes, version: int) -> None:
        """A change that the store has committed, as a peer's copy shows it."""
        self._apply(key, value, version)

    async def refresh(
        self, timeout: float | None = None, on_sent: Callable[[], None] | None = None
    ) -> Refresh:
        """Bring the copy up to the store's present by one read of its own.

        The read is apart from the watch, whose answer may be late. `timeout` is in seconds;
        `on_sent` is called as the request goes out. Raises StoreDown.
        """
        if self.revision < 0:
            raise StoreUnavailable("nothing is loaded yet")
        asked_at = trio.current_time()

        def sent() -> None:
            nonlocal asked_at
            asked_at = trio.current_time()
            if on_sent is not None:
                on_sent()

        events = await self.state_store.follow(
            keys.ROOT,
            self.revision,
            0.0,
            priority=rate_limits.COMPLETIONS,
            timeout=timeout,
            on_sent=sent,
        )
        if events is None:
            raise StoreUnavailable("the copy is too old to be refreshed")
        self._take(events, asked_at)
        return Refresh(events.revision, asked_at, trio.current_time())

    def _take(self, events: state_store_api.Events, asked_at: float) -> None:
        """Apply an answer to a question that was sent at `asked_at`.

        Several questions may be under way. A change that the copy covers already is left
        out: a put that came late would bring a key back that was removed since.
        """
        for event in events.events:
            if event.version <= self.revision:
                continue
            if event.put is not None:
                self._apply(event.put, bytes(event.value), event.version)
            elif event.delete is not None:
                if self.versions.get(event.delete, 0) <= event.version:
                    self._apply(event.delete, None, event.version)
        self._advance(events.revision)
        # An answer after a silent wait vouches for its end, not its start;
        # only the sending time is certain.
        self.verified_at = max(self.verified_at, asked_at)

    async def load(self) -> None:
        """Read everything; keys that vanished meanwhile are dropped."""
        found: set[str] = set()
        after: str | None = None
        revision: int | None = None
        while True:
            page = await self.state_store.page(keys.ROOT, after)
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
        self.revision = max(self.revision, revision)

    async def run(self) -> None:
        """Follow for ever, reading everything anew whenever the thread is lost."""
        delay = self.pause
        while True:
            try:
                await self._follow()
                delay = self.pause
            except StoreUnavailable as error:
                log.debug("watch: %s", error)
                delay = min(delay * 2, 1.0)
            await trio.sleep(delay)

    async def _follow(self) -> None:
        asked_at = trio.current_time()
        if self.revision >= 0:
            events = await self.state_store.follow(keys.ROOT, self.revision, self.wait)
            if events is not None:
                self._take(events, asked_at)
                return
            log.info("watch too old, reading again")
        await self.load()
        self.verified_at = max(self.verified_at, asked_at)
