"""Errors of requests to the state store, one type for each outcome.

Callers must distinguish the outcomes. After `StoreUnavailable` nothing was executed, except for
its subclass `OutcomeUnknown`: the transaction may have been executed, or may still be. Nothing may
depend on either until a further compare-and-swap has settled the key.
"""

from __future__ import annotations


class StateStoreError(Exception):
    """A request to the state store failed."""


class StoreUnavailable(StateStoreError):
    """The request was not executed, or its outcome is unknown (`OutcomeUnknown`)."""


class OutcomeUnknown(StoreUnavailable):
    """The request may have been executed: no usable reply was received."""


class NoResponse(OutcomeUnknown):
    """No reply was received: the connection failed, or the request timed out."""


class InvalidTransaction(StoreUnavailable):
    """The store rejected the request as invalid: a value or the transaction is too large."""


class CompareFailed(StateStoreError):
    """A precondition did not hold, so nothing was changed; `failed` lists the keys."""

    def __init__(self, failed: list[str]):
        super().__init__(", ".join(failed))
        self.failed = failed


class LeaseExpired(StateStoreError):
    """The lease has expired: a new one must be granted."""
