"""A client's idle connections, by address."""

from __future__ import annotations

import socket

import trio

from .messages import Address


class Connection:
    """One connection to a server."""

    __slots__ = ("sock", "used_at")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.used_at = trio.current_time()

    def has_no_input(self) -> bool:
        """Whether the connection is open and nothing has arrived since the last answer.

        HTTP/1.1 matches an answer to its request by the connection alone. What arrived
        between two requests (a repeated answer, the late rest of one, the end of the stream)
        would be read as the answer to the next.
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
    """Keeps idle connections for reuse, a limited number for a limited time."""

    def __init__(self, max_per_address: int, max_total: int, idle_timeout: float) -> None:
        self.max_per_address = max_per_address
        self.max_total = max_total
        self.idle_timeout = idle_timeout  # seconds
        self.idle: dict[Address, list[Connection]] = {}  # least recently used address first

    def take(self, address: Address) -> Connection | None:
        """Take a usable connection out of the pool, the one used last first."""
        connections = self.idle.get(address)
        while connections:
            connection = connections.pop()
            fresh = trio.current_time() - connection.used_at < self.idle_timeout
            if fresh and connection.has_no_input():
                return connection
            connection.close()
        return None

    def put(self, address: Address, connection: Connection) -> None:
        """Keep a connection after use; those to hosts that are gone must not pile up."""
        connection.used_at = trio.current_time()
        connections = self.idle.pop(address, [])
        self.idle[address] = connections  # now the last in order
        connections.append(connection)
        if len(connections) > self.max_per_address:
            connections.pop(0).close()
        self._evict()

    def drop(self, address: Address) -> None:
        """Close all idle connections to an address."""
        for connection in self.idle.pop(address, ()):
            connection.close()

    def _evict(self) -> None:
        """Close connections that are too old or too many, from the least used address on."""
        oldest_use = trio.current_time() - self.idle_timeout
        while self.idle:
            address, connections = next(iter(self.idle.items()))
            too_many = sum(len(others) for others in self.idle.values()) > self.max_total
            if connections and not too_many and connections[0].used_at >= oldest_use:
                return
            if connections:
                connections.pop(0).close()
            if not connections:
                del self.idle[address]
