"""The state store: versions, conditions, leases, watches, outages."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

import trio

from pitchtally.http import Request, Response

from .network import CALLER

CONDITIONS_PER_CHANGE = 4


def _answer(status: int, body: dict[str, Any]) -> Response:
    return Response(status, json.dumps(body).encode())


@dataclass(slots=True)
class Limits:
    """What the store takes at most; changed at any time, without notice."""

    value_bytes: int = 1 << 20
    changes: int = 1 << 20  # of a transaction; conditions: four times as many

    def fault(self, body: dict[str, Any]) -> str:
        """Why a transaction is refused; empty if it isn't."""
        if len(body["writes"]) > self.changes:
            return f"{len(body['writes'])} changes"
        if len(body["if"]) > CONDITIONS_PER_CHANGE * self.changes:
            return f"{len(body['if'])} conditions"
        for write in body["writes"]:
            size = len(json.dumps(write.get("v"), separators=(",", ":")))
            if size > self.value_bytes:
                return f"{write['write']}: {size} bytes"
        return ""


class State:
    """The store: keys with versions, leases, watches, and outages on demand."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self.log: list[tuple[int, str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.down = False
        self.changed = trio.Event()
        self.kept = 10_000
        self.refuses: set[str] = set()  # hosts that get 503 while others are served
        self.limits = Limits()
        self.too_large: list[str] = []  # what was refused for its size, and who sent it

    def stop(self) -> None:
        """Begin an outage."""
        self.down = True

    def resume(self) -> None:
        """After an outage all leases have their full time again."""
        self.down = False
        now = trio.current_time()
        self.leases = {n: (now + ttl, ttl) for n, (_, ttl) in self.leases.items()}

    def _record(self, key: str, value: Any, lease: int | None) -> None:
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (value, self.revision, lease)
        self.log.append((self.revision, key, value))
        del self.log[: -self.kept]

    def _wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def _expire(self) -> None:
        now = trio.current_time()
        for number in [n for n, (end, _) in self.leases.items() if end < now]:
            self._end(number)

    def _end(self, number: int) -> None:
        self.leases.pop(number, None)
        keys = [k for k, (_, _, lease) in self.items.items() if lease == number]
        if keys:
            self.revision += 1
            for key in keys:
                self._record(key, None, None)
            self._wake()

    async def run(self) -> None:
        """End leases in time."""
        while True:
            await trio.sleep(0.1)
            if not self.down:
                self._expire()

    async def handle(self, request: Request) -> Response:
        """Answer a request."""
        if self.down or CALLER.get() in self.refuses:
            return _answer(503, {"error": "trouble"})
        self._expire()
        path, query = request.path, request.query
        if path == "/commit":
            return self.commit(json.loads(request.body))
        if path == "/leases":
            self.revision += 0
            number = len(self.leases) + 1000 + len(self.log) * 7
            while number in self.leases:
                number += 1
            ttl = json.loads(request.body)["ttlMs"] / 1000
            self.leases[number] = (trio.current_time() + ttl, ttl)
            return _answer(200, {"permit": number})
        if path.startswith("/leases/"):
            number = int(path.split("/")[2])
            if number not in self.leases:
                return _answer(404, {})
            ttl = self.leases[number][1]
            self.leases[number] = (trio.current_time() + ttl, ttl)
            return _answer(200, {"permit": number})
        if path == "/follow":
            return await self.follow(query)
        if path == "/store":
            prefix, after = query.get("starts", ""), query.get("since", "")
            limit = int(query.get("limit", "1000"))
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [
                {"path": k, "v": self.items[k][0], "stamp": self.items[k][1]} for k in keys[:limit]
            ]
            return _answer(
                200, {"items": items, "truncated": len(keys) > limit, "ledger": self.revision}
            )
        key = path.removeprefix("/store/")
        if key not in self.items:
            return _answer(404, {"ledger": self.revision})
        value, version, _ = self.items[key]
        return _answer(200, {"path": key, "v": value, "stamp": version})

    def commit(self, body: dict[str, Any]) -> Response:
        """Carry a transaction out, all or nothing."""
        fault = self.limits.fault(body)
        if fault:
            self.too_large.append(f"{CALLER.get()}: {fault}")
            return _answer(400, {"error": fault})
        for write in body["writes"]:
            if write.get("permit") is not None and write["permit"] not in self.leases:
                return _answer(400, {"error": "no such lease"})
        failed = [
            c["path"]
            for c in body["if"]
            if (self.items[c["path"]][1] if c["path"] in self.items else 0) != c["stamp"]
        ]
        if failed:
            return _answer(409, {"failed": failed, "ledger": self.revision})
        if body["writes"]:
            self.revision += 1
            for write in body["writes"]:
                if "remove" in write:
                    self._record(write["remove"], None, None)
                else:
                    self._record(write["write"], write["v"], write.get("permit"))
            self._wake()
        return _answer(200, {"ledger": self.revision})

    async def follow(self, query: dict[str, str]) -> Response:
        """Wait for changes after a revision."""
        prefix, since = query["starts"], int(query["since"])
        end = trio.current_time() + int(query.get("waitMs", "0")) / 1000
        if self.log and self.log[0][0] > since + 1 and len(self.log) >= self.kept:
            return _answer(410, {})
        while True:
            found = [
                {"remove": key, "stamp": revision}
                if value is None
                else {"write": key, "v": value, "stamp": revision}
                for revision, key, value in self.log
                if revision > since and key.startswith(prefix)
            ]
            closed = self.down or CALLER.get() in self.refuses
            if (found or trio.current_time() >= end) and not closed:
                return _answer(200, {"ledger": self.revision, "log": found})
            with trio.move_on_after(max(0.05, min(1.0, end - trio.current_time()))):
                await self.changed.wait()
