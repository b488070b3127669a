"""Commits of submissions that share transactions, and reads that many requests share."""

from __future__ import annotations

import logging

import trio

from .. import tokens
from ..store import Conflict, NoLease, Replica, Store, StoreDown, Write

log = logging.getLogger("acceptance")


# One read of the revision for as many requests that the store would take meanwhile: with
# polls coming all the time, a fifth of this node's share.
_CERTIFY = 5.0


class Certifier:
    """Brings the copy up to the store's present; one read for all that wait."""

    def __init__(self, store: Store, replica: Replica, timeout: float):
        self.store = store
        self.replica = replica
        self.timeout = timeout
        self.waiting: list[trio.Event] = []
        self.results: dict[int, bool] = {}
        self.wake = trio.Event()

    async def certify(self) -> bool:
        """Whether the copy has reached a revision that was read after this call."""
        event = trio.Event()
        self.waiting.append(event)
        self.wake.set()
        with trio.move_on_after(self.timeout):
            await event.wait()
            return self.results.pop(id(event), False)
        if event in self.waiting:
            self.waiting.remove(event)
        return self.results.pop(id(event), False)

    async def run(self) -> None:
        """Read the revision for all that wait, again and again."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            batch, self.waiting = self.waiting, []
            if not batch:
                continue
            good = False
            try:
                revision = await self.store.revision()
                good = await self.replica.catch_up(revision, self.timeout)
            except StoreDown as error:
                log.debug("certify: %s", error)
            for event in batch:
                self.results[id(event)] = good
                event.set()
            # A read serves all that wait: it may take a share of the requests, no more,
            # and leaves the rest to commits.
            await trio.sleep(_CERTIFY / self.store.requests.rate)


class Pending:
    """One submission on its way into the store."""

    def __init__(self, key: str, change: Write, conditions: dict[str, int]):
        self.key = key
        self.change = change
        self.conditions = conditions
        self.over = trio.Event()
        self.sent_at = 0.0  # when its commit had its tokens
        self.revision: int | None = None
        self.failed: list[str] = []
        self.cause = ""

    def end(self, revision: int | None, failed: list[str], cause: str = "") -> None:
        """Tell the waiting request how its commit ended."""
        self.revision, self.failed, self.cause = revision, failed, cause
        self.over.set()


class Acceptances:
    """Commits submissions; those that wait while a commit is under way share the next."""

    # Loops, so that one commit without an answer doesn't hold up all that follow.
    LOOPS = 3
    # Of the 64 KiB that a transaction may hold.
    BYTES = 40 * 1024

    def __init__(self, store: Store, replica: Replica):
        self.store = store
        self.replica = replica
        self.waiting: list[Pending] = []
        self.wake = trio.Event()

    async def commit(self, pending: Pending) -> None:
        """Queue a submission, and wait until its commit has ended."""
        self.waiting.append(pending)
        self.wake.set()
        await pending.over.wait()

    def _batch(self) -> list[Pending]:
        batch: list[Pending] = []
        size = 0
        for pending in list(self.waiting):
            size += len(pending.change.value or b"") + 300
            if len(batch) >= self.store.limits.txn_ops or (
                batch and (size > self.BYTES or len(batch) >= self.store.writes.burst)
            ):
                break
            # A repeat of an id goes alone, so that its condition can fail.
            if all(other.key != pending.key for other in batch):
                batch.append(pending)
        self.waiting = [p for p in self.waiting if p not in batch]
        return batch

    async def run(self) -> None:
        """Commit what waits, in batches."""
        while True:
            while not self.waiting:
                await self.wake.wait()
                self.wake = trio.Event()
            batch = self._batch()
            try:
                await self._write(batch)
            finally:
                for pending in batch:
                    if not pending.over.is_set() and pending not in self.waiting:
                        pending.end(None, [], "fault")

    async def _write(self, batch: list[Pending]) -> None:
        conditions: dict[str, int] = {}
        for pending in batch:
            conditions.update(pending.conditions)
        try:

            def sent() -> None:
                for pending in batch:
                    pending.sent_at = trio.current_time()

            revision = await self.store.commit(
                conditions, [p.change for p in batch], priority=tokens.ACCEPTANCES, on_sent=sent
            )
        except Conflict as conflict:
            failed = set(conflict.failed)
            rest = []
            for pending in batch:
                mine = [k for k in pending.conditions if k in failed]
                if mine or len(batch) == 1:
                    pending.end(None, mine or conflict.failed)
                else:
                    rest.append(pending)
            # Nothing of the batch was written: the others go again without it.
            self.waiting[:0] = rest
            self.wake.set()
        except (NoLease, StoreDown) as error:
            for pending in batch:
                pending.end(None, [], str(error) or "no lease")
        else:
            self.replica.own([p.change for p in batch], revision)
            for pending in batch:
                pending.end(revision, [])
