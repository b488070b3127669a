"""How a request to the state store can fail, one type for each outcome.

Callers must tell the outcomes apart. After `StoreUnavailable` nothing was executed, but for its
subclass `OutcomeUnknown`: the transaction may have been executed, or may still be, so nothing
may rest on either until the key has been settled by a further compare-and-swap.
"""

from __future__ import annotations


class StateStoreError(Exception):
    """A request to the state store failed."""


class StoreUnavailable(StateStoreError):
    """The request was not executed, or (`OutcomeUnknown`) nobody can tell."""


class OutcomeUnknown(StoreUnavailable):
    """The request may have been executed: no usable answer to it came back."""


class NoResponse(OutcomeUnknown):
    """Nothing came back: the connection failed, or the timeout passed."""


class InvalidTransaction(StoreUnavailable):
    """The store will not execute such a request: a value or a transaction is too large."""


class CompareFailed(StateStoreError):
    """A precondition did not hold, so nothing was changed; `failed` lists the keys."""

    def __init__(self, failed: list[str]):
        super().__init__(", ".join(failed))
        self.failed = failed


class LeaseExpired(StateStoreError):
    """The lease has ended: a new one is needed."""
