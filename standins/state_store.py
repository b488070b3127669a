"""The state store: versioned keys, transactions on conditions, leases, watches, outages."""

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
# A watch looks for changes again after at least, and at most, so many seconds.
WATCH_PAUSE_S = (0.05, 1.0)

# A JSON value; None where a key was removed.
Value = Any


class Item(NamedTuple):
    """A key's value, the revision that wrote it, and the lease that it is bound to."""

    value: Value
    version: int
    lease: int | None


class Change(NamedTuple):
    """One entry of the log that watches read."""

    revision: int
    key: str
    value: Value


class Lease(NamedTuple):
    """A lease, in seconds of the clock."""

    expires_at: float
    ttl: float


@dataclass(slots=True)
class TransactionLimits:
    """What a transaction may hold at most; tests change it at any time, without notice."""

    value_bytes: int = UNLIMITED
    changes: int = UNLIMITED  # there may be four times as many conditions

    def violation(self, body: dict[str, Any]) -> str:
        """Return why a transaction is refused; empty if it isn't."""
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
    """Keys with versions, leases and watches, all in memory, with outages on demand."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, Item] = {}
        self.log: list[Change] = []
        self.log_capacity = 10_000
        self.leases: dict[int, Lease] = {}
        self.limits = TransactionLimits()
        self.down = False
        self.refused_callers: set[str] = set()  # hosts that get 503 while others are served
        self.oversized: list[str] = []  # transactions refused for their size, and by whom sent
        self._log_changed = trio.Event()

    def stop(self) -> None:
        """Begin an outage."""
        self.down = True

    def resume(self) -> None:
        """End an outage; all leases have their full time again."""
        self.down = False
        now = trio.current_time()
        self.leases = {
            number: Lease(now + lease.ttl, lease.ttl) for number, lease in self.leases.items()
        }

    async def run(self) -> None:
        """Expire leases until cancelled."""
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            if not self.down:
                self._expire_leases()

    async def handle(self, request: Request) -> Response:
        """Answer a request."""
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
        """Carry a transaction out, all or nothing."""
        violation = self.limits.violation(body)
        if violation:
            self.oversized.append(f"{CALLER.get()}: {violation}")
            return _json_response(400, {"error": violation})
        for write in body["writes"]:
            if write.get("permit") is not None and write["permit"] not in self.leases:
                return _json_response(400, {"error": "no such lease"})
        failed = [c["path"] for c in body["if"] if self._version(c["path"]) != c["stamp"]]
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
        """Wait for changes after a revision."""
        prefix, since = query["starts"], int(query["since"])
        end = trio.current_time() + int(query.get("waitMs", "0")) / 1000
        if self.log and self.log[0].revision > since + 1 and len(self.log) >= self.log_capacity:
            return _json_response(410, {})
        while True:
            found = self._changes(prefix, since)
            if (found or trio.current_time() >= end) and not self._refuses_caller():
                return _json_response(200, {"ledger": self.revision, "log": found})
            shortest, longest = WATCH_PAUSE_S
            with trio.move_on_after(max(shortest, min(longest, end - trio.current_time()))):
                await self._log_changed.wait()

    # --- keys -------------------------------------------------------------------------

    def _read(self, key: str) -> Response:
        if key not in self.items:
            return _json_response(404, {"ledger": self.revision})
        item = self.items[key]
        return _json_response(200, {"path": key, "v": item.value, "stamp": item.version})

    def _list(self, query: dict[str, str]) -> Response:
        prefix, after = query.get("starts", ""), query.get("since", "")
        limit = int(query.get("limit", "1000"))
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [
            {"path": k, "v": self.items[k].value, "stamp": self.items[k].version}
            for k in keys[:limit]
        ]
        body = {"items": items, "truncated": len(keys) > limit, "ledger": self.revision}
        return _json_response(200, body)

    def _changes(self, prefix: str, since: int) -> list[dict[str, Any]]:
        return [
            {"remove": change.key, "stamp": change.revision}
            if change.value is None
            else {"write": change.key, "v": change.value, "stamp": change.revision}
            for change in self.log
            if change.revision > since and change.key.startswith(prefix)
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
        number = len(self.leases) + FIRST_LEASE_ID + len(self.log) * 7
        while number in self.leases:
            number += 1
        self.leases[number] = Lease(trio.current_time() + ttl, ttl)
        return _json_response(200, {"permit": number})

    def _renew_lease(self, number: int) -> Response:
        if number not in self.leases:
            return _json_response(404, {})
        ttl = self.leases[number].ttl
        self.leases[number] = Lease(trio.current_time() + ttl, ttl)
        return _json_response(200, {"permit": number})

    def _expire_leases(self) -> None:
        now = trio.current_time()
        for number in [n for n, lease in self.leases.items() if lease.expires_at < now]:
            self._revoke_lease(number)

    def _revoke_lease(self, number: int) -> None:
        self.leases.pop(number, None)
        keys = [key for key, item in self.items.items() if item.lease == number]
        if keys:
            self.revision += 1
            for key in keys:
                self._apply_change(key, None, None)
            self._wake_watches()


def _json_response(status: int, body: dict[str, Any]) -> Response:
    return Response(status, json.dumps(body).encode())
