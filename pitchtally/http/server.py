"""HTTP over trio with h11: a small server, and a client that pools connections.

Every read and write has a limit in time and size, because users, peers and
machines hang, answer rubbish or come back late. Nothing here knows what the
requests mean.
"""

from __future__ import annotations

import logging
import socket

import h11
import trio

from .header_cache import HeaderCache, head_of
from .messages import MAX_BODY, BadRequest, Handler, Request, Response, fault, split_target
from .sockets import receive, send_all

log = logging.getLogger("http")


class Inbound:
    """One accepted connection."""

    __slots__ = ("idle_since", "scope", "vital")

    def __init__(self, scope: trio.CancelScope):
        self.scope = scope
        self.idle_since: float | None = trio.current_time()  # None: a request is under way
        self.vital = False


class Server:
    """Serves one listening socket; each connection is one task.

    When all places are taken the connection that has been idle longest makes room,
    but none that last carried a vital path: users' idle connections can't crowd out
    agents, and a new caller, the load balancer's probe above all, gets in.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        max_connections: int,
        idle: float,
        request_time: float,
        max_body: int = MAX_BODY,
        vital: frozenset[str] = frozenset(),
    ):
        self.handler = handler
        self.max_connections = max_connections
        self.idle = idle
        self.request_time = request_time
        self.max_body = max_body
        self.vital = vital
        self.links: set[Inbound] = set()
        self.heads = HeaderCache()

    async def serve(self, host: str, port: int) -> None:
        """Accept connections until cancelled."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, port))
        # Hundreds of agents come at once when another controller ends.
        listener.listen(1024)
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
                        self._make_room()
                        await trio.sleep(self.request_time / 200)
        finally:
            trio.lowlevel.notify_closing(listener)
            listener.close()

    def _accept(self, listener: socket.socket, nursery: trio.Nursery) -> None:
        while True:
            sock, _ = listener.accept()
            if len(self.links) >= self.max_connections and not self._make_room():
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = Inbound(trio.CancelScope())
            self.links.add(link)
            nursery.start_soon(self._connection, link, sock)

    def _make_room(self) -> bool:
        """End the connection that has been idle longest; False if all are needed."""
        idle = [
            (k.idle_since, id(k), k) for k in self.links if k.idle_since is not None and not k.vital
        ]
        if not idle:
            return False
        link = min(idle)[2]
        link.scope.cancel()
        self.links.discard(link)
        return True

    async def _connection(self, link: Inbound, sock: socket.socket) -> None:
        try:
            with link.scope:
                await self._requests(link, sock)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        except Exception:
            log.exception("connection fault")
        finally:
            self.links.discard(link)
            trio.lowlevel.notify_closing(sock)
            sock.close()

    async def _requests(self, link: Inbound, sock: socket.socket) -> None:
        data = b""
        while True:
            # Moved only when half is gone: a deadline costs more than the look at it.
            now = trio.current_time()
            if link.scope.deadline - now < self.idle / 2 or link.scope.deadline > now + self.idle:
                link.scope.deadline = now + self.idle
            while not data:
                link.idle_since = now
                await trio.lowlevel.wait_readable(sock)
                found = receive(sock)
                if found == b"":
                    return
                data = found or b""
            link.idle_since = None
            request = await self._known(sock, data)
            if request is None:
                conn = h11.Connection(h11.SERVER, max_incomplete_event_size=16 * 1024)
                conn.receive_data(data)
                if not await self._one(link, conn, sock, data):
                    return
                data = bytes(conn.trailing_data[0])
                continue
            data = b""
            link.vital = request.path in self.vital
            response = await self._handle(request)
            out = self.heads.write(response) + response.body
            try:
                sent = sock.send(out)
            except BlockingIOError:
                sent = 0
            if sent < len(out):
                await self._write(sock, out[sent:])

    async def _known(self, sock: socket.socket, data: bytes) -> Request | None:
        """A request whose head h11 has read before, if there is no more than it."""
        found = self.heads.known(data)
        if found is None or found[3] > self.max_body:
            return None
        method, path, end, length = found
        if len(data) < end + length:
            pieces = [data]
            missing = end + length - len(data)
            with trio.move_on_after(self.request_time) as scope:
                while missing > 0:
                    await trio.lowlevel.wait_readable(sock)
                    more = receive(sock, missing)
                    if more == b"":
                        raise h11.RemoteProtocolError("connection ended inside a request")
                    if more:
                        pieces.append(more)
                        missing -= len(more)
            if scope.cancelled_caught:
                await self._write(sock, self._last(fault(408, "request timed out")))
                raise h11.RemoteProtocolError("request timed out")
            data = b"".join(pieces)
        elif len(data) > end + length:
            return None  # pipelined, which h11 sorts out
        return Request(method, path, {}, data[end:])

    def _last(self, response: Response) -> bytes:
        response.headers.append(("Connection", "close"))
        return self.heads.write(response) + response.body

    async def _one(
        self, link: Inbound, conn: h11.Connection, sock: socket.socket, data: bytes
    ) -> bool:
        """Serve one request by way of h11; False once the connection is over."""
        request = None
        try:
            with trio.move_on_after(self.request_time):
                event = await self._event(conn, sock)
                if not isinstance(event, h11.Request):
                    return False
                request = await self._read(conn, sock, event)
            if request is None:
                if conn.our_state is h11.SEND_RESPONSE and conn.their_state is not h11.IDLE:
                    await self._send(conn, sock, fault(408, "request timed out"))
                return False
            if isinstance(event, h11.Request):
                self.heads.learn(data, event, self.max_body)
            link.vital = request.path in self.vital
            response = await self._handle(request)
        except BadRequest as error:
            await self._send(conn, sock, fault(error.status, str(error)))
            return False
        except h11.RemoteProtocolError as error:
            if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                await self._send(conn, sock, fault(error.error_status_hint, "not HTTP"))
            return False
        await self._send(conn, sock, response)
        return conn.our_state is h11.DONE and conn.their_state is h11.DONE

    async def _handle(self, request: Request) -> Response:
        try:
            return await self.handler(request)
        except Exception:
            # A fault in one request must never end the process.
            log.exception("handler fault path=%s", request.path)
            return fault(503, "internal fault", [("Retry-After", "1")])

    async def _read(self, conn: h11.Connection, sock: socket.socket, head: h11.Request) -> Request:
        for name, value in head.headers:
            if name == b"content-length" and value.isdigit() and int(value) > self.max_body:
                raise BadRequest(400, "body: over 64 KiB")
            if name == b"expect" and value.lower() == b"100-continue":
                await self._write(
                    sock,
                    conn.send(h11.InformationalResponse(status_code=100, headers=[])) or b"",
                )
        body = bytearray()
        while True:
            event = await self._event(conn, sock)
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.max_body:
                    raise BadRequest(400, "body: over 64 KiB")
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                raise h11.RemoteProtocolError("connection ended inside a request")
        path, query = split_target(head.target)
        return Request(head.method.decode("latin-1"), path, query, bytes(body))

    async def _event(self, conn: h11.Connection, sock: socket.socket) -> object:
        while True:
            event = conn.next_event()
            if event is not h11.NEED_DATA:
                return event
            await trio.lowlevel.wait_readable(sock)
            data = receive(sock)
            if data is not None:
                conn.receive_data(data)

    async def _send(self, conn: h11.Connection, sock: socket.socket, response: Response) -> None:
        out = conn.send(head_of(response, str(len(response.body)))) or b""
        out += conn.send(h11.Data(data=response.body)) or b""
        out += conn.send(h11.EndOfMessage()) or b""
        await self._write(sock, out)

    async def _write(self, sock: socket.socket, out: bytes) -> None:
        with trio.move_on_after(self.request_time) as scope:
            await send_all(sock, out)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError
