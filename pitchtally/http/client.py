"""HTTP client that reuses connections and limits the duration of every call."""

from __future__ import annotations

import errno
import os
import socket
from typing import NamedTuple

import h11
import trio

from .connection_pool import Connection, ConnectionPool
from .header_cache import HeaderCache, put_bounded
from .messages import Address, HttpError, Response
from .sockets import MAX_READ_BYTES, receive, send_all


class _RequestHeadTemplate(NamedTuple):
    """A request's head as h11 wrote it, split at its target and its content length."""

    before_target: bytes
    before_length: bytes
    after_length: bytes

    def encode(self, target: str, length: int) -> bytes:
        # `before_target` ends with the target's leading slash.
        return b"%b%b%b%d%b" % (
            self.before_target,
            target[1:].encode("ascii"),
            self.before_length,
            length,
            self.after_length,
        )


class _ResponseHead(NamedTuple):
    """A response's head as h11 parsed it."""

    status: int
    headers: tuple[tuple[str, str], ...]


class _Exchange(NamedTuple):
    """A response, and the state in which it left the connection."""

    response: Response
    reusable: bool  # whether the connection can be used for another request


class Client:
    """HTTP client that keeps idle connections for each server address."""

    def __init__(
        self,
        *,
        max_idle_per_address: int = 4,
        max_idle: int = 64,
        idle_timeout: float = 20.0,
        max_body: int = 4 * 1024 * 1024,
    ) -> None:
        """Create a client with an empty connection pool.

        `max_idle_per_address` and `max_idle` limit the idle connections to one address and to all
        addresses together. `idle_timeout` is in seconds, `max_body` in bytes.
        """
        self.max_body = max_body
        self.pool = ConnectionPool(max_idle_per_address, max_idle, idle_timeout)
        # Heads that h11 has written or parsed before, as in `HeaderCache`.
        self._request_heads: dict[tuple[str, Address], _RequestHeadTemplate] = {}
        self._response_heads: dict[bytes, _ResponseHead] = {}

    async def call(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout: float,
    ) -> Response:
        """Send one request and return its response; `timeout` is in seconds.

        Raises HttpError if no valid response arrives in time. A request that failed because the
        server had closed a reused connection is not retried: only the caller knows whether the
        request is idempotent.
        """
        connection: Connection | None = None
        reusable = False
        try:
            with trio.fail_after(timeout):
                connection = self.pool.take(address) or await _connect(address)
                response, reusable = await self._exchange(
                    connection.sock, address, method, target, body
                )
                return response
        except trio.TooSlowError:
            raise HttpError(f"no response within {timeout:g} s") from None
        except (OSError, trio.ClosedResourceError, h11.ProtocolError) as error:
            raise HttpError(str(error) or type(error).__name__) from None
        finally:
            if connection is not None:
                if reusable:
                    self.pool.put(address, connection)
                else:
                    connection.close()

    def drop(self, address: Address) -> None:
        """Close the idle connections to an address, so that the next call opens a new one."""
        self.pool.drop(address)

    async def _exchange(
        self, sock: socket.socket, address: Address, method: str, target: str, body: bytes
    ) -> _Exchange:
        head = self._request_heads.get((method, address))
        if head is None:
            head = _request_head_template(method, address)
            put_bounded(self._request_heads, (method, address), head)
        await send_all(sock, head.encode(target, len(body)) + body)
        data = await _receive_some(sock)
        head_end = data.find(b"\r\n\r\n") + 4
        if head_end >= 4:
            headers, length = HeaderCache.without_length(data, 0, head_end)
            cached = self._response_heads.get(headers)
            if cached is not None and length is not None and length <= self.max_body:
                return await _read_body(sock, cached, data, head_end, length)
        return await self._read_with_h11(sock, method, address, data, head_end)

    async def _read_with_h11(
        self, sock: socket.socket, method: str, address: Address, data: bytes, head_end: int
    ) -> _Exchange:
        """Read a response with h11, and cache its head if it qualifies."""
        connection = h11.Connection(h11.CLIENT)
        connection.send(_placeholder_request(method, address))
        connection.receive_data(data)
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await _receive_some(sock, end_allowed=True))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.max_body:
                    raise h11.RemoteProtocolError(
                        f"response body is longer than {self.max_body} bytes"
                    )
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("connection closed before the end of the response")
        headers = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in head.headers]
        # This h11 connection holds a placeholder request, whose content length differs from that
        # of the request sent; h11 is only used to parse the response.
        reusable = connection.their_state is h11.DONE and not connection.trailing_data[0]
        if reusable and 4 <= head_end <= HeaderCache.MAX_HEAD_BYTES:
            self._cache_response_head(head, headers, data[:head_end], len(body))
        return _Exchange(Response(head.status_code, bytes(body), headers), reusable)

    def _cache_response_head(
        self, head: h11.Response, headers: list[tuple[str, str]], data: bytes, body_length: int
    ) -> None:
        """Cache a response's head, unless its headers affect framing or connection reuse."""
        lengths = [int(value) for name, value in headers if name == "content-length"]
        affects_framing = any(name in ("connection", "transfer-encoding") for name, _ in headers)
        if head.http_version != b"1.1" or lengths != [body_length] or affects_framing:
            return
        key, length = HeaderCache.without_length(data, 0, len(data))
        if length == body_length:
            cached = _ResponseHead(head.status_code, tuple(headers))
            put_bounded(self._response_heads, key, cached)


async def _connect(address: Address) -> Connection:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error_code = sock.connect_ex(address)
        if error_code == errno.EINPROGRESS:
            await trio.lowlevel.wait_writable(sock)
            error_code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_code:
            raise OSError(error_code, os.strerror(error_code))
    except BaseException:
        trio.lowlevel.notify_closing(sock)
        sock.close()
        raise
    return Connection(sock)


def _placeholder_request(method: str, address: Address) -> h11.Request:
    headers = [
        ("Host", f"{address[0]}:{address[1]}"),
        ("Content-Type", "application/json"),
        ("Content-Length", HeaderCache.PLACEHOLDER),
    ]
    target = f"/{HeaderCache.PLACEHOLDER}"
    return h11.Request(method=method, target=target, headers=headers)


def _request_head_template(method: str, address: Address) -> _RequestHeadTemplate:
    data = h11.Connection(h11.CLIENT).send(_placeholder_request(method, address)) or b""
    pieces = data.split(HeaderCache.PLACEHOLDER.encode())
    if len(pieces) != 3:
        raise h11.LocalProtocolError(
            f"request head for {method} {address} has {len(pieces) - 1} placeholders instead of 2"
        )
    return _RequestHeadTemplate(*pieces)


async def _read_body(
    sock: socket.socket, head: _ResponseHead, data: bytes, head_end: int, length: int
) -> _Exchange:
    """Read the rest of a response whose head is in the cache."""
    pieces, missing = [data], head_end + length - len(data)
    while missing > 0:
        pieces.append(await _receive_some(sock))
        missing -= len(pieces[-1])
    body = b"".join(pieces)[head_end : head_end + length]
    # Bytes beyond the response match no request, so the connection isn't reused.
    return _Exchange(Response(head.status, body, list(head.headers)), not missing)


async def _receive_some(sock: socket.socket, *, end_allowed: bool = False) -> bytes:
    while True:
        await trio.lowlevel.wait_readable(sock)
        data = receive(sock, MAX_READ_BYTES * 4)
        if data == b"" and not end_allowed:
            raise h11.RemoteProtocolError("connection closed before the end of the response")
        if data is not None:
            return data
