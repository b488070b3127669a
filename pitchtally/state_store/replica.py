"""The controller's replica of the keys in the state store, kept up to date by a watch.

Besides the watch, any caller may bring the replica up to date with a read of its own
(`Replica.refresh`). Replies may arrive in any order, even long after newer ones, so changes are
applied by revision, never by time of arrival.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import trio

from ..config.clock import LONG_AGO_S
from ..protocol import state_store_api
from . import keys
from .client import StateStoreClient, Write
from .errors import StoreUnavailable
from .rate_limits import Priority

log = logging.getLogger(__name__)

# Called with the suffix of a key after the prefix, its value (None: removed) and its version.
ReplicaListener = Callable[[str, bytes | None, int], None]

_NOT_LOADED = -1
_MAX_RETRY_PAUSE_S = 1.0  # between two failed watches


@dataclass(frozen=True, slots=True)
class Refresh:
    """A read of the store whose result the replica includes; times are steady-clock seconds."""

    revision: int  # revision of the store when it replied
    requested_at: float
    replied_at: float


class Replica:
    """A replica of all keys below `ROOT`, fed by one watch.

    The replica is complete up to `revision`, which is -1 before the first load. This node's own
    commits are applied at once, ahead of the watch; the version kept for each key prevents an
    older value from replacing a newer one. `verified_at` is the newest time at which the store
    held nothing that the replica lacks: data read from the replica is at most as old as that.
    """

    def __init__(self, state_store: StateStoreClient, pause: float, wait: float):
        """Initialise; `pause` (between watches) and `wait` (for a change) are in seconds."""
        self.revision = _NOT_LOADED
        self.verified_at = LONG_AGO_S
        self._state_store = state_store
        self._pause = pause
        self._wait = wait
        self._versions: dict[str, int] = {}
        self._listeners: list[tuple[str, ReplicaListener]] = []

    def listen(self, prefix: str, listener: ReplicaListener) -> None:
        """Subscribe a listener to all changes of keys with a prefix."""
        self._listeners.append((keys.ROOT + prefix, listener))

    def version(self, key: str) -> int:
        """Return a key's version in the replica, 0 if absent."""
        return self._versions.get(key, 0)

    def _apply(self, key: str, value: bytes | None, version: int) -> None:
        if value is None:
            if self._versions.pop(key, None) is None:
                return
        else:
            if self._versions.get(key, 0) >= version:
                return
            self._versions[key] = version
        for prefix, listener in self._listeners:
            if key.startswith(prefix):
                try:
                    listener(key[len(prefix) :], value, version)
                except Exception:
                    # A record that one component cannot read must not stop the replica.
                    log.exception("listener failed key=%s", key)

    def apply_own_commit(self, writes: Sequence[Write], revision: int) -> None:
        """Apply the writes of a commit by this node, unless the replica covers its revision."""
        if revision <= self.revision:
            return
        for write in writes:
            if write.value is not None:
                self._apply(write.key, write.value, revision)

    def apply_committed(self, key: str, value: bytes, version: int) -> None:
        """Apply a write that a peer reported as committed."""
        self._apply(key, value, version)

    async def refresh(
        self, timeout: float | None = None, on_dispatched: Callable[[], None] | None = None
    ) -> Refresh:
        """Bring the replica up to date with one read.

        The read is independent of the watch, whose reply may be late. `timeout` is in seconds;
        `on_dispatched` is called just before the request is sent. Raises `StoreUnavailable`.
        """
        if self.revision < 0:
            raise StoreUnavailable("the replica is not loaded yet")
        requested_at = trio.current_time()

        def note_dispatched() -> None:
            nonlocal requested_at
            requested_at = trio.current_time()
            if on_dispatched is not None:
                on_dispatched()

        events = await self._state_store.watch(
            keys.ROOT,
            self.revision,
            0.0,
            priority=Priority.COMPLETIONS,
            timeout=timeout,
            on_dispatched=note_dispatched,
        )
        if events is None:
            raise StoreUnavailable(
                f"the store no longer has all changes after revision {self.revision}"
            )
        self._apply_events(events, requested_at)
        return Refresh(events.revision, requested_at, trio.current_time())

    def _apply_events(self, events: state_store_api.Events, requested_at: float) -> None:
        """Apply a reply to a request that was sent at `requested_at`.

        Several requests may be in flight. Changes that the replica covers already are skipped: a
        put that arrives late would restore a key that has been removed since.
        """
        for event in events.events:
            if event.version <= self.revision:
                continue
            if event.put is not None:
                self._apply(event.put, bytes(event.value), event.version)
            elif event.delete is not None:
                if self._versions.get(event.delete, 0) <= event.version:
                    self._apply(event.delete, None, event.version)
        self._advance(events.revision)
        # A reply after a wait without changes reflects the end of the wait, not its start, but
        # only the time at which the request was sent is certain.
        self.verified_at = max(self.verified_at, requested_at)

    async def load(self) -> None:
        """Read all keys, and remove from the replica those that the store no longer holds."""
        listed_keys: set[str] = set()
        last_key: str | None = None
        revision: int | None = None
        while True:
            page = await self._state_store.read_page(keys.ROOT, last_key)
            # The watch continues from the revision of the first page, so later changes are received
            # again.
            revision = page.revision if revision is None else revision
            for item in page.items:
                listed_keys.add(item.key)
                self._apply(item.key, bytes(item.value), item.version)
            if not page.more or not page.items:
                break
            last_key = page.items[-1].key
        removed_keys = [
            key
            for key, version in self._versions.items()
            if key not in listed_keys and version <= revision
        ]
        for key in removed_keys:
            self._apply(key, None, revision)
        self._advance(revision)

    def _advance(self, revision: int) -> None:
        self.revision = max(self.revision, revision)

    async def run(self) -> None:
        """Watch forever, and read all keys again when the store no longer has older changes."""
        pause = self._pause
        while True:
            try:
                await self._watch_or_load()
                pause = self._pause
            except StoreUnavailable as error:
                log.debug("watch failed: %s", error)
                pause = min(pause * 2, _MAX_RETRY_PAUSE_S)
            await trio.sleep(pause)

    async def _watch_or_load(self) -> None:
        requested_at = trio.current_time()
        if self.revision >= 0:
            events = await self._state_store.watch(keys.ROOT, self.revision, self._wait)
            if events is not None:
                self._apply_events(events, requested_at)
                return
            log.info("watch revision no longer available; loading all keys")
        await self.load()
        self.verified_at = max(self.verified_at, requested_at)
