"""HTTP server for one listening socket: accepts, limits and serves its connections."""

from __future__ import annotations

import logging
import socket

import h11
import trio

from .h11_exchange import REQUEST_TIMED_OUT, H11Exchange, send_with_timeout
from .header_cache import HeaderCache
from .messages import MAX_BODY_BYTES, BadRequestError, Handler, Request, Response, error_response
from .sockets import receive

log = logging.getLogger(__name__)

# When another controller fails, hundreds of its agents connect at once.
LISTEN_BACKLOG_CONNECTIONS = 1024
# Pause after a failed accept, as a share of the request timeout.
ACCEPT_PAUSE_SHARE = 1 / 200


class InboundConnection:
    """An accepted connection."""

    __slots__ = ("has_priority", "idle_since", "scope")

    def __init__(self, scope: trio.CancelScope) -> None:
        self.scope = scope
        self.idle_since: float | None = trio.current_time()  # None while a request is in progress
        self.has_priority = False  # whether the last request was for a priority path


class Server:
    """HTTP server for one listening socket; each connection is served by a task of its own.

    At the connection limit, a new connection evicts the one that has been idle longest, unless
    its last request was for a priority path. Thus users' idle connections don't exhaust the limit
    for agents, and a new client, above all the load balancer's health check, is still served.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        max_connections: int,
        idle_timeout: float,
        request_timeout: float,
        max_body: int = MAX_BODY_BYTES,
        priority_paths: frozenset[str] = frozenset(),
    ) -> None:
        """Create a server; timeouts are in seconds, `max_body` in bytes."""
        self.handler = handler
        self.max_connections = max_connections
        self.idle_timeout = idle_timeout
        self.request_timeout = request_timeout
        self.max_body = max_body
        self.priority_paths = priority_paths
        self.connections: set[InboundConnection] = set()
        self._heads = HeaderCache()

    async def serve(self, host: str, port: int) -> None:
        """Accept connections until cancelled."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, port))
        listener.listen(LISTEN_BACKLOG_CONNECTIONS)
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    await trio.lowlevel.wait_readable(listener)
                    try:
                        self._accept(listener, nursery)
                    except BlockingIOError:
                        continue
                    except OSError as error:
                        # No file descriptors are left, or the client has disconnected.
                        log.debug("accept failed: %s", error)
                        self._evict_idle()
                        await trio.sleep(self.request_timeout * ACCEPT_PAUSE_SHARE)
        finally:
            trio.lowlevel.notify_closing(listener)
            listener.close()

    async def handle(self, request: Request) -> Response:
        """Call the handler; an exception in it becomes a 503 response."""
        try:
            return await self.handler(request)
        except Exception:
            # An exception in one request must not end the process.
            log.exception("handler fault path=%s", request.path)
            return error_response(503, "internal fault", [("Retry-After", "1")])

    def _accept(self, listener: socket.socket, nursery: trio.Nursery) -> None:
        """Accept all pending connections; raises BlockingIOError once none is left."""
        while True:
            sock, _ = listener.accept()
            if len(self.connections) >= self.max_connections and not self._evict_idle():
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = InboundConnection(trio.CancelScope())
            self.connections.add(connection)
            nursery.start_soon(self._serve_connection, connection, sock)

    def _evict_idle(self) -> bool:
        """Evict the longest idle connection without priority; return whether there was one."""
        candidates = [
            (connection.idle_since, id(connection), connection)
            for connection in self.connections
            if connection.idle_since is not None and not connection.has_priority
        ]
        if not candidates:
            return False
        connection = min(candidates)[2]
        connection.scope.cancel()
        self.connections.discard(connection)
        return True

    async def _serve_connection(self, connection: InboundConnection, sock: socket.socket) -> None:
        try:
            with connection.scope:
                await self._serve_requests(connection, sock)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        except Exception:
            log.exception("connection fault")
        finally:
            self.connections.discard(connection)
            trio.lowlevel.notify_closing(sock)
            sock.close()

    async def _serve_requests(self, connection: InboundConnection, sock: socket.socket) -> None:
        """Serve requests until the connection ends.

        Every agent heartbeat is read here, so this path is kept fast.
        """
        data: bytes | None = b""
        while data is not None:
            # The deadline is extended only once less than half of the timeout is left, because
            # setting a deadline costs more than reading it.
            now = trio.current_time()
            scope, timeout = connection.scope, self.idle_timeout
            if scope.deadline - now < timeout / 2 or scope.deadline > now + timeout:
                scope.deadline = now + timeout
            while not data:
                connection.idle_since = now
                await trio.lowlevel.wait_readable(sock)
                received = receive(sock)
                if received == b"":
                    return
                data = received or b""
            connection.idle_since = None
            request = await self._read_with_cached_head(sock, data)
            if request is None:
                data = await self._serve_with_h11(connection, sock, data)
                continue
            data = b""
            connection.has_priority = request.path in self.priority_paths
            response = await self.handle(request)
            encoded = self._heads.encode_head(response) + response.body
            try:
                sent_bytes = sock.send(encoded)
            except BlockingIOError:
                sent_bytes = 0
            if sent_bytes < len(encoded):
                await send_with_timeout(sock, encoded[sent_bytes:], self.request_timeout)

    async def _read_with_cached_head(self, sock: socket.socket, data: bytes) -> Request | None:
        """Read a request whose head is in the cache; return None if it must be read with h11."""
        cached = self._heads.lookup(data)
        if cached is None or cached[3] > self.max_body:
            return None
        method, path, head_end, length = cached
        if len(data) < head_end + length:
            data = await self._receive_rest(sock, data, head_end + length)
        elif len(data) > head_end + length:
            return None  # pipelined requests are read with h11
        return Request(method, path, {}, data[head_end:])

    async def _receive_rest(self, sock: socket.socket, data: bytes, size: int) -> bytes:
        """Return all `size` bytes of a request whose first bytes, `data`, have been read."""
        pieces = [data]
        missing = size - len(data)
        with trio.move_on_after(self.request_timeout) as scope:
            while missing > 0:
                await trio.lowlevel.wait_readable(sock)
                received = receive(sock, missing)
                if received == b"":
                    raise h11.RemoteProtocolError("connection closed before the end of the request")
                if received:
                    pieces.append(received)
                    missing -= len(received)
        if scope.cancelled_caught:
            response = error_response(408, REQUEST_TIMED_OUT, [("Connection", "close")])
            encoded = self._heads.encode_head(response) + response.body
            await send_with_timeout(sock, encoded, self.request_timeout)
            raise h11.RemoteProtocolError(REQUEST_TIMED_OUT)
        return b"".join(pieces)

    async def _serve_with_h11(
        self, connection: InboundConnection, sock: socket.socket, data: bytes
    ) -> bytes | None:
        """Serve one request with h11.

        Returns the bytes read beyond the request, or None if the connection must be closed.
        """
        exchange = H11Exchange(
            sock, data, max_body=self.max_body, request_timeout=self.request_timeout
        )
        try:
            request = await exchange.read_request()
            if request is None:
                return None
            if exchange.head is not None:
                self._heads.add_request(data, exchange.head)
            connection.has_priority = request.path in self.priority_paths
            response = await self.handle(request)
        except (BadRequestError, h11.RemoteProtocolError) as error:
            await exchange.respond_with_error(error)
            return None
        await exchange.respond(response)
        return exchange.trailing_data if exchange.is_complete else None
