"""Pool of a client's idle connections, by server address."""

from __future__ import annotations

import socket

import trio

from .messages import Address


class Connection:
    """An open connection to a server."""

    __slots__ = ("last_used_at", "sock")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.last_used_at = trio.current_time()

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no unread input.

        HTTP/1.1 matches a response to its request only by the order on the connection. Bytes
        that arrived between two requests (a duplicated response, the late end of one, the end of
        the stream) would be read as the response to the next request.
        """
        try:
            self.sock.recv(1)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close the socket."""
        trio.lowlevel.notify_closing(self.sock)
        self.sock.close()


class ConnectionPool:
    """Idle connections kept for reuse, limited in number and in idle time."""

    def __init__(self, max_per_address: int, max_total: int, idle_timeout: float) -> None:
        self.max_per_address = max_per_address
        self.max_total = max_total
        self.idle_timeout = idle_timeout  # seconds
        # The addresses are in order of last use, the least recently used one first.
        self.idle: dict[Address, list[Connection]] = {}

    def take(self, address: Address) -> Connection | None:
        """Remove and return the most recently used open connection to an address, if any."""
        connections = self.idle.get(address)
        while connections:
            connection = connections.pop()
            within_timeout = trio.current_time() - connection.last_used_at < self.idle_timeout
            if within_timeout and connection.is_reusable():
                return connection
            connection.close()
        return None

    def put(self, address: Address, connection: Connection) -> None:
        """Return a connection to the pool after use.

        Closes surplus and expired connections to any address, so that those to terminated hosts
        don't accumulate.
        """
        connection.last_used_at = trio.current_time()
        connections = self.idle.pop(address, [])
        self.idle[address] = connections  # reinserted as the most recently used address
        connections.append(connection)
        if len(connections) > self.max_per_address:
            connections.pop(0).close()
        self._evict()

    def drop(self, address: Address) -> None:
        """Close all idle connections to an address."""
        for connection in self.idle.pop(address, ()):
            connection.close()

    def _evict(self) -> None:
        """Close expired and surplus connections, those of the least recently used address first."""
        oldest_allowed_use = trio.current_time() - self.idle_timeout
        while self.idle:
            address, connections = next(iter(self.idle.items()))
            too_many = sum(len(pooled) for pooled in self.idle.values()) > self.max_total
            if connections and not too_many and connections[0].last_used_at >= oldest_allowed_use:
                return
            if connections:
                connections.pop(0).close()
            if not connections:
                del self.idle[address]
