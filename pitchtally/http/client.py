"""A client that keeps idle connections, with a limit in time for every call."""

from __future__ import annotations

import errno
import os
import socket

import h11
import trio

from .header_cache import HeaderCache, remember
from .messages import HttpError, Response
from .sockets import CHUNK, receive, send_all


class Connection:
    """One connection to a server."""

    __slots__ = ("sock", "used_at")

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self.used_at = trio.current_time()

    def is_silent(self) -> bool:
        """Whether the other side has said nothing since the last answer.

        HTTP/1.1 matches an answer to its question by the connection alone. What came
        between two questions (an answer once more, a late rest, the end of the connection)
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
        self._idle: dict[tuple[str, int], list[Connection]] = {}  # least used address first
        # As in `HeaderCache`: what h11 has written, and read, before.
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
        link: Connection | None = None
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

    def _keep(self, address: tuple[str, int], link: Connection) -> None:
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

    def _reuse(self, address: tuple[str, int]) -> Connection | None:
        pool = self._idle.get(address)
        while pool:
            link = pool.pop()
            if trio.current_time() - link.used_at < self.idle and link.is_silent():
                return link
            link.close()
        return None

    def drop(self, address: tuple[str, int]) -> None:
        """Forget idle connections, after a fault that the next call should not meet."""
        for link in self._idle.pop(address, ()):
            link.close()

    async def _open(self, address: tuple[str, int]) -> Connection:
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
        return Connection(sock)

    async def _exchange(
        self, sock: socket.socket, address: tuple[str, int], method: str, target: str, body: bytes
    ) -> tuple[Response, bool]:
        """Send and receive; with the response, whether the connection can be used again."""
        head = self._written.get((method, address))
        if head is None:
            asked = self._asked(method, address)[1]
            head = asked.split(HeaderCache.MARK.encode())
            if len(head) != 3:
                raise h11.LocalProtocolError(f"no head for {method} {address}")
            remember(self._written, (method, address), head)
        out = b"%b%b%b%d%b" % (head[0], target[1:].encode("ascii"), head[1], len(body), head[2])
        await send_all(sock, out + body)
        data = await self._some(sock)
        end = data.find(b"\r\n\r\n") + 4
        headers, length = HeaderCache.cut(data, 0, end) if end >= 4 else (b"", None)
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
            ("Content-Length", HeaderCache.MARK),
        ]
        target = f"/{HeaderCache.MARK}"
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
            and 4 <= end <= HeaderCache.LONGEST
            and head.http_version == b"1.1"
            and (
                lengths == [len(got)]
                and not any(n in ("connection", "transfer-encoding") for n, _ in found)
            )
        ):
            headers, length = HeaderCache.cut(data, 0, end)
            if length == len(got):
                remember(self._read, headers, (head.status_code, tuple(found)))
        return Response(head.status_code, bytes(got), found), good

    async def _some(self, sock: socket.socket, *, end: bool = False) -> bytes:
        while True:
            await trio.lowlevel.wait_readable(sock)
            data = receive(sock, CHUNK * 4)
            if data == b"" and not end:
                raise h11.RemoteProtocolError("connection closed")
            if data is not None:
                return data
