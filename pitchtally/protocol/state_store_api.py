"""What the state store's API exchanges: pages, watch events, transactions, leases.

Names on the wire (`ledger`, `stamp`, `permit`, ...) are mapped to the field's terms here, and
nowhere else.
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
    """A page of keys."""

    items: list[StoredItem]
    revision: int = field(name="ledger")
    more: bool = field(name="truncated", default=False)


class Event(Struct):
    """One change seen by a watch: a write, or a removal."""

    version: int = field(name="stamp")
    put: str | None = field(name="write", default=None)
    delete: str | None = field(name="remove", default=None)
    value: msgspec.Raw = field(name="v", default=msgspec.Raw(b"null"))


class Events(Struct):
    """Changes after a revision."""

    revision: int = field(name="ledger")
    events: list[Event] = field(name="log", default_factory=list)


class TransactionResult(Struct):
    """The store's revision, and the keys whose preconditions failed."""

    revision: int = field(name="ledger")
    failed: list[str] = field(default_factory=list)


class Precondition(Struct):
    """The version that a key must have for a transaction to be executed; 0: absent."""

    key: str = field(name="path")
    version: int = field(name="stamp")


class Put(Struct, omit_defaults=True):
    """A write within a transaction."""

    key: str = field(name="write")
    value: msgspec.Raw = field(name="v")
    lease: int | None = field(name="permit", default=None)


class Delete(Struct):
    """A removal within a transaction."""

    key: str = field(name="remove")


class Transaction(Struct):
    """Preconditions and writes; all are executed, or none is."""

    preconditions: list[Precondition] = field(name="if")
    writes: list[Put | Delete]


class LeaseGrant(Struct):
    """A lease that the store has granted."""

    lease: int = field(name="permit")


class LeaseRequest(Struct):
    """A request for a lease that lives so long without a renewal."""

    ttl_ms: int = field(name="ttlMs")
