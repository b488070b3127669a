"""An in-memory state store: versioned keys, transactions, leases, watches and outages."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, NamedTuple

import trio

from pitchtally.http import Request, Response

from .network import CALLER

UNLIMITED = 1 << 20
MAX_PRECONDITIONS_PER_CHANGE = 4
EXPIRY_INTERVAL_S = 0.1
FIRST_LEASE_ID = 1000
# Shortest and longest sleep of a watch that no change wakes.
WATCH_PAUSE_S = (0.05, 1.0)

# A JSON value; None stands for a removed key.
Value = Any


class Item(NamedTuple):
    """The value of a key, the revision that wrote it, and the id of its lease, if any."""

    value: Value
    version: int
    lease: int | None


class Change(NamedTuple):
    """An entry of the change log, from which watches are served."""

    revision: int
    key: str
    value: Value


class Lease(NamedTuple):
    """A lease: its time of expiry on trio's clock and its time to live, both in seconds."""

    expires_at: float
    ttl: float


@dataclass(slots=True)
class TransactionLimits:
    """Size limits on a transaction; tests may change them at any time."""

    value_bytes: int = UNLIMITED
    changes: int = UNLIMITED  # the number of preconditions may be four times as large

    def violation(self, body: dict[str, Any]) -> str:
        """Return which limit a transaction exceeds, or an empty string."""
        if len(body["writes"]) > self.changes:
            return f"{len(body['writes'])} changes"
        if len(body["if"]) > MAX_PRECONDITIONS_PER_CHANGE * self.changes:
            return f"{len(body['if'])} conditions"
        for write in body["writes"]:
            size = len(json.dumps(write.get("v"), separators=(",", ":")))
            if size > self.value_bytes:
                return f"{write['write']}: {size} bytes"
        return ""


class StateStore:
    """Serves the state store protocol from memory; tests start and end outages."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, Item] = {}
        self.log: list[Change] = []
        self.log_capacity = 10_000
        self.leases: dict[int, Lease] = {}
        self.limits = TransactionLimits()
        self.down = False
        self.refused_callers: set[str] = set()  # hosts whose requests are answered with 503
        self.oversized: list[str] = []  # sender and exceeded limit of each rejected transaction
        self._log_changed = trio.Event()

    def stop(self) -> None:
        """Begin an outage."""
        self.down = True

    def resume(self) -> None:
        """End an outage; every lease is renewed for its full time to live."""
        self.down = False
        now = trio.current_time()
        self.leases = {
            lease_id: Lease(now + lease.ttl, lease.ttl) for lease_id, lease in self.leases.items()
        }

    async def run(self) -> None:
        """Expire leases until cancelled, except during an outage."""
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            if not self.down:
                self._expire_leases()

    async def handle(self, request: Request) -> Response:
        """Answer a request; status 503 during an outage or to a refused caller."""
        if self._refuses_caller():
            return _json_response(503, {"error": "trouble"})
        self._expire_leases()
        path = request.path
        if path == "/commit":
            return self.commit(json.loads(request.body))
        if path == "/leases":
            return self._grant_lease(json.loads(request.body)["ttlMs"] / 1000)
        if path.startswith("/leases/"):
            return self._renew_lease(int(path.split("/")[2]))
        if path == "/follow":
            return await self.watch(request.query)
        if path == "/store":
            return self._list(request.query)
        return self._read(path.removeprefix("/store/"))

    def commit(self, body: dict[str, Any]) -> Response:
        """Apply a transaction atomically.

        Status 400 means that it exceeds a limit or names an unknown lease, 409 that
        preconditions don't hold.
        """
        violation = self.limits.violation(body)
        if violation:
            self.oversized.append(f"{CALLER.get()}: {violation}")
            return _json_response(400, {"error": violation})
        for write in body["writes"]:
            if write.get("permit") is not None and write["permit"] not in self.leases:
                return _json_response(400, {"error": "no such lease"})
        failed = [
            precondition["path"]
            for precondition in body["if"]
            if self._version(precondition["path"]) != precondition["stamp"]
        ]
        if failed:
            return _json_response(409, {"failed": failed, "ledger": self.revision})
        if body["writes"]:
            self.revision += 1
            for write in body["writes"]:
                if "remove" in write:
                    self._apply_change(write["remove"], None, None)
                else:
                    self._apply_change(write["write"], write["v"], write.get("permit"))
            self._wake_watches()
        return _json_response(200, {"ledger": self.revision})

    async def watch(self, query: dict[str, str]) -> Response:
        """Return the changes after a revision, waiting for one; 410 if the log was truncated."""
        prefix, after_revision = query["starts"], int(query["since"])
        deadline = trio.current_time() + int(query.get("waitMs", "0")) / 1000
        if (
            self.log
            and self.log[0].revision > after_revision + 1
            and len(self.log) >= self.log_capacity
        ):
            return _json_response(410, {})
        while True:
            changes = self._changes(prefix, after_revision)
            if (changes or trio.current_time() >= deadline) and not self._refuses_caller():
                return _json_response(200, {"ledger": self.revision, "log": changes})
            shortest, longest = WATCH_PAUSE_S
            with trio.move_on_after(max(shortest, min(longest, deadline - trio.current_time()))):
                await self._log_changed.wait()

    # --- keys -------------------------------------------------------------------------

    def _read(self, key: str) -> Response:
        if key not in self.items:
            return _json_response(404, {"ledger": self.revision})
        item = self.items[key]
        return _json_response(200, {"path": key, "v": item.value, "stamp": item.version})

    def _list(self, query: dict[str, str]) -> Response:
        prefix, after_key = query.get("starts", ""), query.get("since", "")
        limit = int(query.get("limit", "1000"))
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after_key)
        items = [
            {"path": key, "v": self.items[key].value, "stamp": self.items[key].version}
            for key in keys[:limit]
        ]
        body = {"items": items, "truncated": len(keys) > limit, "ledger": self.revision}
        return _json_response(200, body)

    def _changes(self, prefix: str, after_revision: int) -> list[dict[str, Any]]:
        return [
            {"remove": change.key, "stamp": change.revision}
            if change.value is None
            else {"write": change.key, "v": change.value, "stamp": change.revision}
            for change in self.log
            if change.revision > after_revision and change.key.startswith(prefix)
        ]

    def _version(self, key: str) -> int:
        return self.items[key].version if key in self.items else 0

    def _apply_change(self, key: str, value: Value, lease: int | None) -> None:
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = Item(value, self.revision, lease)
        self.log.append(Change(self.revision, key, value))
        del self.log[: -self.log_capacity]

    def _wake_watches(self) -> None:
        self._log_changed.set()
        self._log_changed = trio.Event()

    def _refuses_caller(self) -> bool:
        return self.down or CALLER.get() in self.refused_callers

    # --- leases -----------------------------------------------------------------------

    def _grant_lease(self, ttl: float) -> Response:
        lease_id = len(self.leases) + FIRST_LEASE_ID + len(self.log) * 7
        while lease_id in self.leases:
            lease_id += 1
        self.leases[lease_id] = Lease(trio.current_time() + ttl, ttl)
        return _json_response(200, {"permit": lease_id})

    def _renew_lease(self, lease_id: int) -> Response:
        if lease_id not in self.leases:
            return _json_response(404, {})
        ttl = self.leases[lease_id].ttl
        self.leases[lease_id] = Lease(trio.current_time() + ttl, ttl)
        return _json_response(200, {"permit": lease_id})

    def _expire_leases(self) -> None:
        now = trio.current_time()
        for lease_id in [id_ for id_, lease in self.leases.items() if lease.expires_at < now]:
            self._revoke_lease(lease_id)

    def _revoke_lease(self, lease_id: int) -> None:
        self.leases.pop(lease_id, None)
        keys = [key for key, item in self.items.items() if item.lease == lease_id]
        if keys:
            self.revision += 1
            for key in keys:
                self._apply_change(key, None, None)
            self._wake_watches()


def _json_response(status: int, body: dict[str, Any]) -> Response:
    return Response(status, json.dumps(body).encode())
