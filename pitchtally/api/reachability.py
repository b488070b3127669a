"""Reachability of the state store and of peers from this node."""

from __future__ import annotations

from typing import Protocol

import trio

from ..state_store.client import StateStoreClient


class PeerReachability(Protocol):
    """Which peers this node reaches, and whether they reach the state store."""

    def peer_with_state_store(self) -> object | None:
        """Return a peer that reaches the state store; None if there is none."""

    def is_isolated(self) -> bool:
        """Return whether no peer has responded within a session TTL."""


class StateStoreReachability:
    """Distinguishes an outage of the state store from a connection lost by this node alone."""

    def __init__(self, state_store: StateStoreClient, peers: PeerReachability, session_ttl: float):
        """`session_ttl`: seconds after which a node without any response counts as isolated."""
        self._state_store = state_store
        self._peers = peers
        self._session_ttl = session_ttl

    def is_store_lost_by_this_node_only(self) -> bool:
        """Return whether this node can't reach the state store while a peer can."""
        return (
            self._state_store.failing_since is not None
            and self._peers.peer_with_state_store() is not None
        )

    def is_isolated(self) -> bool:
        """Return whether neither the store nor any peer has responded within a session TTL."""
        outage_start = self._state_store.failing_since
        return (
            outage_start is not None
            and trio.current_time() - outage_start > self._session_ttl
            and self._peers.is_isolated()
        )
