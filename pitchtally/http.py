"""HTTP over trio with h11: a small server, and a client that pools connections.

Every read and write has a limit in time and size, because users, peers and
machines hang, answer rubbish or come back late. Nothing here knows what the
requests mean.
"""

from __future__ import annotations

import errno
import logging
import os
import re
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeVar

import h11
import trio

log = logging.getLogger("http")

K = TypeVar("K")
V = TypeVar("V")

MAX_BODY = 64 * 1024
_CHUNK = 16 * 1024


class HttpError(Exception):
    """No usable answer: refused, timed out, reset, or not HTTP."""


@dataclass(slots=True)
class Request:
    method: str
    path: str
    query: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Response:
    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    type: str = "application/json"


Handler = Callable[[Request], Awaitable[Response]]


class BadRequest(Exception):
    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status


def split_target(target: bytes) -> tuple[str, dict[str, str]]:
    path, _, rest = target.decode("latin-1").partition("?")
    query = {}
    for piece in rest.split("&") if rest else ():
        name, _, value = piece.partition("=")
        query[name] = value
    return path, query


class _Inbound:
    """One accepted connection."""

    __slots__ = ("idle_since", "scope", "vital")

    def __init__(self, scope: trio.CancelScope):
        self.scope = scope
        self.idle_since: float | None = trio.current_time()  # None: a request is under way
        self.vital = False


class _Heads:
    """Heads that h11 has read or written before, by their bytes.

    A worker sends the same headers with each report, and most answers begin alike,
    while h11 takes longer over them than all else that a report asks for. What h11 made
    of the same bytes once holds for good. Only plain ones are kept: HTTP/1.1, a length
    or no body, and nothing that says how to go on afterwards.
    """

    MOST = 4096
    LONGEST = 1024
    # Request lines about which no two readers differ; any other goes through h11.
    _LINE = re.compile(rb"(GET|POST|DELETE) (/[A-Za-z0-9/_.-]*) HTTP/1\.1")
    _LENGTH = re.compile(rb"\r\n[Cc]ontent-[Ll]ength: ([0-9]{1,9})\r\n")
    # Stands for a length or a target in a head that h11 has written, to be cut out of it.
    MARK = "7654321"
    _SPECIAL = frozenset((b"connection", b"expect", b"transfer-encoding", b"upgrade"))

    def __init__(self) -> None:
        self.read: set[bytes] = set()  # headers as sent, but for the length's digits
        self.written: dict[tuple[int, str, tuple[tuple[str, str], ...]], tuple[bytes, bytes]] = {}

    def learn(self, data: bytes, event: h11.Request, max_body: int) -> None:
        first, end = data.find(b"\r\n"), data.find(b"\r\n\r\n") + 4
        if not 0 < first < end <= self.LONGEST or event.http_version != b"1.1":
            return
        lengths = [int(value) for name, value in event.headers if name == b"content-length"]
        headers, length = self.cut(data, first, end)
        if any(name in self._SPECIAL for name, _ in event.headers) or (
            lengths != [length] and (lengths or length is not None)
        ):
            return
        if len(self.read) >= self.MOST:
            self.read.clear()
        self.read.add(headers)

    @classmethod
    def cut(cls, data: bytes, first: int, end: int) -> tuple[bytes, int | None]:
        """Headers without the digits of their length, which nothing else depends on."""
        found = cls._LENGTH.search(data, first, end)
        if found is None:
            return data[first:end], None
        return data[first : found.start(1)] + data[found.end(1) : end], int(found[1])

    def known(self, data: bytes) -> tuple[str, str, int, int] | None:
        """Method, path, where the body starts and its length, if h11 knows such a head."""
        first, end = data.find(b"\r\n"), data.find(b"\r\n\r\n") + 4
        if end < 4:
            return None
        headers, length = self.cut(data, first, end)
        line = self._LINE.fullmatch(data, 0, first) if headers in self.read else None
        if line is None:
            return None
        return line[1].decode(), line[2].decode(), end, length or 0

    def write(self, response: Response) -> bytes:
        key = (response.status, response.type, tuple(response.headers))
        found = self.written.get(key)
        if found is None:
            conn = h11.Connection(h11.SERVER)
            conn.receive_data(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            conn.next_event()
            conn.next_event()
            head = conn.send(_head(response, self.MARK)) or b""
            before, _, after = head.partition(self.MARK.encode())
            found = (before, after)
            _remember(self.written, key, found)
        return b"%b%d%b" % (found[0], len(response.body), found[1])


def _head(response: Response, length: str) -> h11.Response:
    headers = [
        ("Content-Type", response.type),
        ("Content-Length", length),
        *response.headers,
    ]
    return h11.Response(status_code=response.status, headers=headers)


class Server:
    """Serves one listening socket; each connection is one task.

    When all places are taken the connection that has been idle longest makes room,
    but none that last carried a vital path: users' idle connections can't crowd out
    workers, and a new caller, the load balancer's probe above all, gets in.
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
        self.links: set[_Inbound] = set()
        self.heads = _Heads()

    async def serve(self, host: str, port: int) -> None:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, port))
        # Hundreds of workers come at once when another controller ends.
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
            link = _Inbound(trio.CancelScope())
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

    async def _connection(self, link: _Inbound, sock: socket.socket) -> None:
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

    async def _requests(self, link: _Inbound, sock: socket.socket) -> None:
        data = b""
        while True:
            # Moved only when half is gone: a deadline costs more than the look at it.
            now = trio.current_time()
            if link.scope.deadline - now < self.idle / 2 or link.scope.deadline > now + self.idle:
                link.scope.deadline = now + self.idle
            while not data:
                link.idle_since = now
                await trio.lowlevel.wait_readable(sock)
                found = _recv(sock)
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
                    more = _recv(sock, missing)
                    if more == b"":
                        raise h11.RemoteProtocolError("connection ended inside a request")
                    if more:
                        pieces.append(more)
                        missing -= len(more)
            if scope.cancelled_caught:
                await self._write(sock, self._last(_fault(408, "request timed out")))
                raise h11.RemoteProtocolError("request timed out")
            data = b"".join(pieces)
        elif len(data) > end + length:
            return None  # pipelined, which h11 sorts out
        return Request(method, path, {}, data[end:])

    def _last(self, response: Response) -> bytes:
        response.headers.append(("Connection", "close"))
        return self.heads.write(response) + response.body

    async def _one(
        self, link: _Inbound, conn: h11.Connection, sock: socket.socket, data: bytes
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
                    await self._send(conn, sock, _fault(408, "request timed out"))
                return False
            if isinstance(event, h11.Request):
                self.heads.learn(data, event, self.max_body)
            link.vital = request.path in self.vital
            response = await self._handle(request)
        except BadRequest as error:
            await self._send(conn, sock, _fault(error.status, str(error)))
            return False
        except h11.RemoteProtocolError as error:
            if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                await self._send(conn, sock, _fault(error.error_status_hint, "not HTTP"))
            return False
        await self._send(conn, sock, response)
        return conn.our_state is h11.DONE and conn.their_state is h11.DONE

    async def _handle(self, request: Request) -> Response:
        try:
            return await self.handler(request)
        except Exception:
            # A fault in one request must never end the process.
            log.exception("handler fault path=%s", request.path)
            return _fault(503, "internal fault", [("Retry-After", "1")])

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
            data = _recv(sock)
            if data is not None:
                conn.receive_data(data)

    async def _send(self, conn: h11.Connection, sock: socket.socket, response: Response) -> None:
        out = conn.send(_head(response, str(len(response.body)))) or b""
        out += conn.send(h11.Data(data=response.body)) or b""
        out += conn.send(h11.EndOfMessage()) or b""
        await self._write(sock, out)

    async def _write(self, sock: socket.socket, out: bytes) -> None:
        with trio.move_on_after(self.request_time) as scope:
            await _send_all(sock, out)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError


async def _send_all(sock: socket.socket, out: bytes) -> None:
    """All of it; where the first try takes all, it costs no more than the call."""
    sent = 0
    while True:
        try:
            sent += sock.send(out[sent:] if sent else out)
        except BlockingIOError:
            pass
        if sent == len(out):
            return
        await trio.lowlevel.wait_writable(sock)


def _recv(sock: socket.socket, most: int = _CHUNK) -> bytes | None:
    """What has come; b"" at the end, None if it was a false alarm."""
    try:
        return sock.recv(most)
    except BlockingIOError:
        return None


def _fault(status: int, reason: str, headers: list[tuple[str, str]] | None = None) -> Response:
    text = reason.replace("\\", "/").replace('"', "'")
    return Response(status, f'{{"error":"{text}"}}'.encode(), headers or [])


class _Link:
    """One connection to a server."""

    __slots__ = ("sock", "used_at")

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self.used_at = trio.current_time()

    def close(self) -> None:
        trio.lowlevel.notify_closing(self.sock)
        self.sock.close()


class Client:
    """Calls one kind of server; keeps idle connections for each address."""

    def __init__(
        self,
        *,
        keep: int = 4,
        most: int = 64,
        idle: float = 20.0,
        max_body: int = 4 * 1024 * 1024,
    ):
        self.keep = keep
        self.most = most  # idle connections to all addresses together
        self.idle = idle
        self.max_body = max_body
        self._idle: dict[tuple[str, int], list[_Link]] = {}  # least used address first
        # As in `_Heads`: what h11 has written, and read, before.
        self._written: dict[tuple[str, tuple[str, int]], list[bytes]] = {}
        self._read: dict[bytes, tuple[int, tuple[tuple[str, str], ...]]] = {}

    async def call(
        self,
        address: tuple[str, int],
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout: float,
    ) -> Response:
        """One request; HttpError when there is no usable answer in time.

        A request that went out on a reused connection is not sent again when the
        other side had closed it: only the caller knows whether repeating is safe.
        """
        link: _Link | None = None
        good = False
        try:
            with trio.fail_after(timeout):
                link = self._reuse(address) or await self._open(address)
                response, good = await self._exchange(link.sock, address, method, target, body)
                return response
        except trio.TooSlowError:
            raise HttpError(f"no answer in {timeout:g} s") from None
        except (OSError, trio.ClosedResourceError, h11.ProtocolError) as error:
            raise HttpError(str(error) or type(error).__name__) from None
        finally:
            if link is not None:
                if good:
                    link.used_at = trio.current_time()
                    self._keep(address, link)
                else:
                    link.close()

    def _keep(self, address: tuple[str, int], link: _Link) -> None:
        """Keep a connection for the next call; those to hosts that are gone must not pile up."""
        pool = self._idle.pop(address, [])
        self._idle[address] = pool  # last in order
        pool.append(link)
        if len(pool) > self.keep:
            pool.pop(0).close()
        limit = trio.current_time() - self.idle
        while self._idle:
            first, links = next(iter(self._idle.items()))
            spare = sum(len(p) for p in self._idle.values()) > self.most
            if links and not spare and links[0].used_at >= limit:
                break
            if links:
                links.pop(0).close()
            if not links:
                del self._idle[first]

    def _reuse(self, address: tuple[str, int]) -> _Link | None:
        pool = self._idle.get(address)
        while pool:
            link = pool.pop()
            if trio.current_time() - link.used_at < self.idle:
                return link
            link.close()
        return None

    def drop(self, address: tuple[str, int]) -> None:
        """Forget idle connections, after a fault that the next call should not meet."""
        for link in self._idle.pop(address, ()):
            link.close()

    async def _open(self, address: tuple[str, int]) -> _Link:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex(address)
            if code == errno.EINPROGRESS:
                await trio.lowlevel.wait_writable(sock)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, os.strerror(code))
        except BaseException:
            trio.lowlevel.notify_closing(sock)
            sock.close()
            raise
        return _Link(sock)

    async def _exchange(
        self, sock: socket.socket, address: tuple[str, int], method: str, target: str, body: bytes
    ) -> tuple[Response, bool]:
        """Send and receive; with the response, whether the connection can be used again."""
        head = self._written.get((method, address))
        if head is None:
            asked = self._asked(method, address)[1]
            head = asked.split(_Heads.MARK.encode())
            if len(head) != 3:
                raise h11.LocalProtocolError(f"no head for {method} {address}")
            _remember(self._written, (method, address), head)
        out = b"%b%b%b%d%b" % (head[0], target[1:].encode("ascii"), head[1], len(body), head[2])
        await _send_all(sock, out + body)
        data = await self._some(sock)
        end = data.find(b"\r\n\r\n") + 4
        headers, length = _Heads.cut(data, 0, end) if end >= 4 else (b"", None)
        known = self._read.get(headers) if length is not None else None
        if known is not None and length is not None and length <= self.max_body:
            status, found = known
            pieces, missing = [data], end + length - len(data)
            while missing > 0:
                pieces.append(await self._some(sock))
                missing -= len(pieces[-1])
            # More than was asked for: whose answer it is nobody can tell.
            return Response(status, b"".join(pieces)[end : end + length], list(found)), not missing
        return await self._slowly(sock, self._asked(method, address)[0], data, end)

    def _asked(self, method: str, address: tuple[str, int]) -> tuple[h11.Connection, bytes]:
        """A connection of h11's after such a request, and the head as h11 wrote it."""
        conn = h11.Connection(h11.CLIENT)
        headers = [
            ("Host", f"{address[0]}:{address[1]}"),
            ("Content-Type", "application/json"),
            ("Content-Length", _Heads.MARK),
        ]
        target = f"/{_Heads.MARK}"
        return conn, conn.send(h11.Request(method=method, target=target, headers=headers)) or b""

    async def _slowly(
        self, sock: socket.socket, conn: h11.Connection, data: bytes, end: int
    ) -> tuple[Response, bool]:
        """An answer by way of h11, whose head is remembered if it is a plain one."""
        conn.receive_data(data)
        head: h11.Response | None = None
        got = bytearray()
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await self._some(sock, end=True))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                got += event.data
                if len(got) > self.max_body:
                    raise h11.RemoteProtocolError("answer too long")
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("connection closed")
        found = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in head.headers]
        # h11 may have been told a body of another length than was sent, but it isn't asked
        # for more than the answer.
        good = conn.their_state is h11.DONE and not conn.trailing_data[0]
        lengths = [int(v) for n, v in found if n == "content-length"]
        if (
            good
            and 4 <= end <= _Heads.LONGEST
            and head.http_version == b"1.1"
            and (
                lengths == [len(got)]
                and not any(n in ("connection", "transfer-encoding") for n, _ in found)
            )
        ):
            headers, length = _Heads.cut(data, 0, end)
            if length == len(got):
                _remember(self._read, headers, (head.status_code, tuple(found)))
        return Response(head.status_code, bytes(got), found), good

    async def _some(self, sock: socket.socket, *, end: bool = False) -> bytes:
        while True:
            await trio.lowlevel.wait_readable(sock)
            data = _recv(sock, _CHUNK * 4)
            if data == b"" and not end:
                raise h11.RemoteProtocolError("connection closed")
            if data is not None:
                return data


def _remember(memory: dict[K, V], key: K, value: V) -> None:
    """Bounded: what comes again is soon known again."""
    if len(memory) >= _Heads.MOST:
        memory.clear()
    memory[key] = value
