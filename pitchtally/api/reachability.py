"""Whether this node can still learn the state of the cluster."""

from __future__ import annotations

from typing import Protocol

import trio

from ..state_store.client import StateStoreClient


class PeerReachability(Protocol):
    """What is known of the peers."""

    def peer_with_state_store(self) -> object | None:
        """A peer that reaches the state store, None if there is none."""

    def is_isolated(self) -> bool:
        """Whether no peer has answered within a session TTL."""


class StateStoreReachability:
    """Tells a node that alone lost the state store from one that everybody lost."""

    def __init__(self, state_store: StateStoreClient, peers: PeerReachability, session_ttl: float):
        """`session_ttl`: seconds after which a node without any answer counts as isolated."""
        self._state_store = state_store
        self._peers = peers
        self._session_ttl = session_ttl

    def is_store_lost_here_only(self) -> bool:
        """Whether this node can't reach the state store while a peer can."""
        return (
            self._state_store.failing_since is not None
            and self._peers.peer_with_state_store() is not None
        )

    def is_isolated(self) -> bool:
        """Whether neither the state store nor any peer has answered within a session TTL."""
        since = self._state_store.failing_since
        return (
            since is not None
            and trio.current_time() - since > self._session_ttl
            and self._peers.is_isolated()
        )
