"""Client of the state store: compare-and-swap transactions, reads, watches and leases.

A transaction has one of four outcomes, which callers must distinguish (see `errors`): committed,
failed precondition, not executed, or unknown. After an unknown outcome the keys are read before
anything depends on it; a transaction that is executed late changes nothing, since every write has
a precondition.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar

import msgspec
import trio

from ..config.clock import LONG_AGO_S
from ..config.settings import StateLimits, host_port
from ..http import Client, HttpError, Response
from ..protocol import state_store_api
from .errors import (
    CompareFailed,
    InvalidTransaction,
    LeaseExpired,
    NoResponse,
    OutcomeUnknown,
    StoreUnavailable,
)
from .rate_limits import Priority, TokenBucket

log = logging.getLogger(__name__)

T = TypeVar("T")

# Share of the store's limits that all nodes together use: the store's clock and the nodes' bursts
# never match exactly.
_USED_LIMIT_SHARE = 0.9
_MAX_IDLE_CONNECTIONS = 8
_KEYS_PER_PAGE = 500
_LOGGED_REPLY_BYTES = 100
_COMMIT_PATH = "/commit"


@dataclass(slots=True)
class Write:
    """A write or a removal of one key within a transaction."""

    key: str
    value: bytes | None  # None removes the key
    lease: int | None = None


_page_decoder = msgspec.json.Decoder(state_store_api.StoredPage)
_events_decoder = msgspec.json.Decoder(state_store_api.Events)
_result_decoder = msgspec.json.Decoder(state_store_api.TransactionResult)
_lease_decoder = msgspec.json.Decoder(state_store_api.LeaseGrant)
_encode = msgspec.json.encode


def _encode_transaction(expected_versions: Mapping[str, int], writes: Sequence[Write]) -> bytes:
    operations: list[state_store_api.Put | state_store_api.Delete] = []
    for write in writes:
        if write.value is None:
            operations.append(state_store_api.Delete(write.key))
        else:
            value = msgspec.Raw(write.value)
            operations.append(state_store_api.Put(write.key, value, write.lease))
    preconditions = [
        state_store_api.Precondition(key, version) for key, version in expected_versions.items()
    ]
    return _encode(state_store_api.Transaction(preconditions, operations))


class StateStoreClient:
    """One node's client of the state store."""

    def __init__(self, address: str, limits: StateLimits, nodes: int, timeout: float):
        """Initialise; `nodes` share the limits at first; `timeout` is for a reply, in seconds."""
        self.limits = limits
        share = _USED_LIMIT_SHARE / nodes
        self.request_limit = TokenBucket(limits.rps * share, limits.rps * share)
        self.write_limit = TokenBucket(limits.write_rps * share, limits.write_rps * share)
        # Send time of the first failed request since the last reply; None while the store replies.
        self.failing_since: float | None = None
        self._address = host_port(address)
        self._timeout = timeout
        self._client = Client(max_idle_per_address=_MAX_IDLE_CONNECTIONS)
        self._replied_at = LONG_AGO_S  # send time of the newest answered request
        self._logged_causes: set[str] = set()  # causes of unusable replies, each logged once

    def share_limits(self, nodes: int) -> None:
        """Change the number of live nodes among which the store's limits are divided."""
        share = _USED_LIMIT_SHARE / max(1, nodes)
        self.request_limit.resize(self.limits.rps * share)
        self.write_limit.resize(self.limits.write_rps * share)

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        priority: Priority,
        timeout: float | None = None,
        on_dispatched: Callable[[], None] | None = None,
    ) -> Response:
        """Send a request once the rate limits permit it; raises `StoreUnavailable`."""
        await self.request_limit.acquire(priority)
        if on_dispatched is not None:
            on_dispatched()
        dispatched_at = trio.current_time()
        try:
            response = await self._client.call(
                self._address, method, target, body, timeout=timeout or self._timeout
            )
        except HttpError as error:
            self._client.drop(self._address)
            self._note_failure(dispatched_at)
            raise NoResponse(str(error)) from None
        if response.status == 429:
            self.request_limit.penalize()
            if method == "POST" and target == _COMMIT_PATH:
                self.write_limit.penalize()
            raise StoreUnavailable("rate limit exceeded (status 429)")
        if response.status >= 500:
            self._note_failure(dispatched_at)
            raise StoreUnavailable(f"status {response.status}")
        self.failing_since = None
        self._replied_at = max(self._replied_at, dispatched_at)
        return response

    def _note_failure(self, dispatched_at: float) -> None:
        if self.failing_since is None and dispatched_at > self._replied_at:
            self.failing_since = dispatched_at

    async def read_page(self, prefix: str, after_key: str | None) -> state_store_api.StoredPage:
        """Read a page of the keys with a prefix, starting after a key.

        Raises `StoreUnavailable`.
        """
        since_parameter = f"&since={after_key}" if after_key else ""
        response = await self._call(
            "GET",
            f"/store?starts={prefix}{since_parameter}&limit={_KEYS_PER_PAGE}",
            priority=Priority.LEASES,
        )
        if response.status != 200:
            raise StoreUnavailable(f"status {response.status}")
        return self._decode(_page_decoder, response.body)

    async def commit(
        self,
        expected_versions: Mapping[str, int],
        writes: Sequence[Write],
        *,
        priority: Priority,
        on_dispatched: Callable[[], None] | None = None,
    ) -> int:
        """Execute all writes if every key has its expected version (0: absent).

        Returns the revision of the commit. Raises `CompareFailed`, `LeaseExpired`, or
        `StoreUnavailable` and its subclasses. `on_dispatched` is called just before the request
        is sent.
        """
        body = _encode_transaction(expected_versions, writes)
        if writes:
            await self.write_limit.acquire(priority, len(writes))
        response = await self._call(
            "POST", _COMMIT_PATH, body, priority=priority, on_dispatched=on_dispatched
        )
        if response.status == 200:
            return self._decode(_result_decoder, response.body).revision
        if response.status == 409:
            raise CompareFailed(self._decode(_result_decoder, response.body).failed)
        if response.status == 400 and b"lease" in response.body:
            raise LeaseExpired
        cause = f"status {response.status}: {response.body[:_LOGGED_REPLY_BYTES]!r}"
        if response.status == 400:
            raise InvalidTransaction(cause)
        raise StoreUnavailable(cause)

    async def grant_lease(self, ttl: float) -> int:
        """Return a new lease that expires `ttl` seconds after its last renewal.

        Raises `StoreUnavailable`.
        """
        body = _encode(state_store_api.LeaseRequest(int(ttl * 1000)))
        response = await self._call("POST", "/leases", body, priority=Priority.LEASES)
        if response.status != 200:
            raise StoreUnavailable(f"status {response.status}")
        return self._decode(_lease_decoder, response.body).lease

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raises `LeaseExpired` or `StoreUnavailable`."""
        response = await self._call("POST", f"/leases/{lease}/extend", priority=Priority.LEASES)
        if response.status == 404:
            raise LeaseExpired
        if response.status != 200:
            raise StoreUnavailable(f"status {response.status}")

    async def watch(
        self,
        prefix: str,
        after_revision: int,
        wait: float,
        *,
        priority: Priority = Priority.LEASES,
        timeout: float | None = None,
        on_dispatched: Callable[[], None] | None = None,
    ) -> state_store_api.Events | None:
        """Return changes after a revision; None if the store no longer has all of them.

        In the latter case all keys must be read again. Without a change the store replies after
        `wait` seconds (0: at once); the reply may take `timeout` seconds longer. Raises
        `StoreUnavailable`, also for a reply with a revision below `after_revision`.
        """
        response = await self._call(
            "GET",
            f"/follow?starts={prefix}&since={after_revision}&waitMs={int(wait * 1000)}",
            priority=priority,
            timeout=wait + (timeout or self._timeout),
            on_dispatched=on_dispatched,
        )
        if response.status == 410:
            return None
        if response.status != 200:
            raise StoreUnavailable(f"status {response.status}")
        events = self._decode(_events_decoder, response.body)
        if events.revision < after_revision:
            # The caller has seen a newer revision: this is the reply to another request.
            self._log_once("older than its request")
            raise StoreUnavailable(
                f"revision {events.revision} of the reply is below {after_revision}"
            )
        return events

    def _log_once(self, cause: str) -> None:
        if cause not in self._logged_causes:
            self._logged_causes.add(cause)
            log.info("unusable reply cause=%s", cause)

    def _decode(self, decoder: msgspec.json.Decoder[T], body: bytes) -> T:
        try:
            return decoder.decode(body)
        except msgspec.MsgspecError as error:
            self._log_once("not decodable")
            raise OutcomeUnknown(f"reply cannot be decoded: {error}") from None
