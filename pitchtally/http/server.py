"""A server for one listening socket: accepts, limits and serves its connections."""

from __future__ import annotations

import logging
import socket

import h11
import trio

from .h11_exchange import REQUEST_TIMED_OUT, H11Exchange, send_in_time
from .header_cache import HeaderCache
from .messages import MAX_BODY_BYTES, BadRequestError, Handler, Request, Response, error_response
from .sockets import receive

log = logging.getLogger(__name__)

# Hundreds of agents connect at once when another controller ends.
BACKLOG = 1024
# After a failed accept, a share of the request timeout until the next one.
ACCEPT_PAUSE_SHARE = 1 / 200


class InboundConnection:
    """One accepted connection."""

    __slots__ = ("has_priority", "idle_since", "scope")

    def __init__(self, scope: trio.CancelScope) -> None:
        self.scope = scope
        self.idle_since: float | None = trio.current_time()  # None: a request is under way
        self.has_priority = False  # whether its last request was for a priority path


class Server:
    """Serves one listening socket; each connection is one task.

    When all places are taken the connection that has been idle longest is evicted, but none
    that last carried a priority path: users' idle connections can't crowd out agents, and a
    new caller, the load balancer's probe above all, gets in.
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
        """Timeouts are seconds; `max_body` is bytes."""
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
        listener.listen(BACKLOG)
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    await trio.lowlevel.wait_readable(listener)
                    try:
                        self._accept(listener, nursery)
                    except BlockingIOError:
                        continue
                    except OSError as error:
                        # Out of sockets, or the caller is gone already.
                        log.debug("accept failed: %s", error)
                        self._evict_idle()
                        await trio.sleep(self.request_timeout * ACCEPT_PAUSE_SHARE)
        finally:
            trio.lowlevel.notify_closing(listener)
            listener.close()

    async def handle(self, request: Request) -> Response:
        """Let the handler answer; an exception of its own becomes a 503."""
        try:
            return await self.handler(request)
        except Exception:
            # A fault in one request must never end the process.
            log.exception("handler fault path=%s", request.path)
            return error_response(503, "internal fault", [("Retry-After", "1")])

    def _accept(self, listener: socket.socket, nursery: trio.Nursery) -> None:
        """Accept every connection that waits; ends with BlockingIOError."""
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
        """End the connection that has been idle longest; False if all are needed."""
        idle = [
            (connection.idle_since, id(connection), connection)
            for connection in self.connections
            if connection.idle_since is not None and not connection.has_priority
        ]
        if not idle:
            return False
        connection = min(idle)[2]
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
        """Serve requests until the connection ends; the path of every agent heartbeat."""
        data: bytes | None = b""
        while data is not None:
            # Moved only when half of it is over: setting a deadline costs more than a look.
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
            request = await self._read_cached(sock, data)
            if request is None:
                data = await self._serve_with_h11(connection, sock, data)
                continue
            data = b""
            connection.has_priority = request.path in self.priority_paths
            response = await self.handle(request)
            out = self._heads.encode_head(response) + response.body
            try:
                accepted = sock.send(out)
            except BlockingIOError:
                accepted = 0
            if accepted < len(out):
                await send_in_time(sock, out[accepted:], self.request_timeout)

    async def _read_cached(self, sock: socket.socket, data: bytes) -> Request | None:
        """Read a request whose head is in the cache; None if h11 has to read it."""
        cached = self._heads.lookup(data)
        if cached is None or cached[3] > self.max_body:
            return None
        method, path, head_end, length = cached
        if len(data) < head_end + length:
            data = await self._receive_rest(sock, data, head_end + length)
        elif len(data) > head_end + length:
            return None  # pipelined, which h11 sorts out
        return Request(method, path, {}, data[head_end:])

    async def _receive_rest(self, sock: socket.socket, data: bytes, size: int) -> bytes:
        """Return the whole request, of which the first bytes have been read."""
        pieces = [data]
        missing = size - len(data)
        with trio.move_on_after(self.request_timeout) as scope:
            while missing > 0:
                await trio.lowlevel.wait_readable(sock)
                more = receive(sock, missing)
                if more == b"":
                    raise h11.RemoteProtocolError("connection ended inside a request")
                if more:
                    pieces.append(more)
                    missing -= len(more)
        if scope.cancelled_caught:
            response = error_response(408, REQUEST_TIMED_OUT, [("Connection", "close")])
            out = self._heads.encode_head(response) + response.body
            await send_in_time(sock, out, self.request_timeout)
            raise h11.RemoteProtocolError(REQUEST_TIMED_OUT)
        return b"".join(pieces)

    async def _serve_with_h11(
        self, connection: InboundConnection, sock: socket.socket, data: bytes
    ) -> bytes | None:
        """Serve one request by way of h11.

        Returns what has been read beyond it, or None once the connection is over.
        """
        exchange = H11Exchange(
            sock, data, max_body=self.max_body, request_timeout=self.request_timeout
        )
        try:
            request = await exchange.read_request()
            if request is None:
                return None
            if exchange.head is not None:
                self._heads.learn(data, exchange.head)
            connection.has_priority = request.path in self.priority_paths
            response = await self.handle(request)
        except (BadRequestError, h11.RemoteProtocolError) as error:
            await exchange.refuse(error)
            return None
        await exchange.respond(response)
        return exchange.trailing_data if exchange.is_complete else None
