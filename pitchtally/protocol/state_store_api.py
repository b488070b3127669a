"""The state store's API: pages, watch events, transactions, leases.

Only this module maps the names on the wire (`ledger`, `stamp`, `permit`, ...) to the attribute
names used in the code.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct, field


class StoredItem(Struct):
    """A key of the state store with its value and version."""

    key: str = field(name="path")
    value: msgspec.Raw = field(name="v")
    version: int = field(name="stamp")


class StoredPage(Struct):
    """One page of a range read, at a revision of the store."""

    items: list[StoredItem]
    revision: int = field(name="ledger")
    more: bool = field(name="truncated", default=False)


class Event(Struct):
    """A change reported by a watch: a write to the key `put`, or the removal of `delete`."""

    version: int = field(name="stamp")
    put: str | None = field(name="write", default=None)
    delete: str | None = field(name="remove", default=None)
    value: msgspec.Raw = field(name="v", default=msgspec.Raw(b"null"))


class Events(Struct):
    """The changes since the revision given to a watch, up to `revision`."""

    revision: int = field(name="ledger")
    events: list[Event] = field(name="log", default_factory=list)


class TransactionResult(Struct):
    """The store's revision after a transaction, and the keys whose preconditions failed."""

    revision: int = field(name="ledger")
    failed: list[str] = field(default_factory=list)


class Precondition(Struct):
    """The version that a key must have for a transaction to be executed; 0 if it must be absent."""

    key: str = field(name="path")
    version: int = field(name="stamp")


class Put(Struct, omit_defaults=True):
    """A write in a transaction, bound to a lease if one is given."""

    key: str = field(name="write")
    value: msgspec.Raw = field(name="v")
    lease: int | None = field(name="permit", default=None)


class Delete(Struct):
    """The deletion of a key in a transaction."""

    key: str = field(name="remove")


class Transaction(Struct):
    """Writes that are executed atomically if all preconditions hold."""

    preconditions: list[Precondition] = field(name="if")
    writes: list[Put | Delete]


class LeaseGrant(Struct):
    """The response to a `LeaseRequest`."""

    lease: int = field(name="permit")


class LeaseRequest(Struct):
    """A request for a lease that expires after its TTL unless it is renewed."""

    ttl_ms: int = field(name="ttlMs")
