"""Cache of message heads that h11 has parsed or written, by their bytes."""

from __future__ import annotations

import re
from typing import TypeVar

import h11

from .messages import Response

K = TypeVar("K")
V = TypeVar("V")

# Method, path, offset of the body and its length. A plain tuple, because one is created for each
# agent heartbeat and a class would cost more.
CachedRequest = tuple[str, str, int, int]


class HeaderCache:
    """Message heads that h11 has parsed or written before, by their bytes.

    An agent sends the same headers with each heartbeat, and most responses have the same head,
    but h11 takes longer to process them than the rest of a heartbeat does. Parsing depends on the
    bytes alone, so that a cached result stays valid. Only simple heads are cached: HTTP/1.1, a
    content length or no body, and no header that affects the connection after the message.
    """

    MAX_ENTRIES = 4096
    MAX_HEAD_BYTES = 1024
    # Replaces a length or a target in a head that h11 writes, so that the head can be split there.
    PLACEHOLDER = "7654321"
    # Request lines that every parser reads alike; any other is parsed by h11.
    _REQUEST_LINE = re.compile(rb"(GET|POST|DELETE) (/[A-Za-z0-9/_.-]*) HTTP/1\.1")
    _LENGTH = re.compile(rb"\r\n[Cc]ontent-[Ll]ength: ([0-9]{1,9})\r\n")
    _UNCACHEABLE_HEADERS = frozenset((b"connection", b"expect", b"transfer-encoding", b"upgrade"))

    def __init__(self) -> None:
        self._request_headers: set[bytes] = set()  # without the digits of the content length
        self._response_heads: dict[
            tuple[int, str, tuple[tuple[str, str], ...]], tuple[bytes, bytes]
        ] = {}  # bytes before and after the content length

    def add_request(self, data: bytes, request: h11.Request) -> None:
        """Cache the headers of a request that h11 has parsed, if they qualify."""
        line_end, head_end = data.find(b"\r\n"), data.find(b"\r\n\r\n") + 4
        if not 0 < line_end < head_end <= self.MAX_HEAD_BYTES or request.http_version != b"1.1":
            return
        lengths = [int(value) for name, value in request.headers if name == b"content-length"]
        headers, length = self.without_length(data, line_end, head_end)
        if any(name in self._UNCACHEABLE_HEADERS for name, _ in request.headers) or (
            lengths != [length] and (lengths or length is not None)
        ):
            return
        if len(self._request_headers) >= self.MAX_ENTRIES:
            self._request_headers.clear()
        self._request_headers.add(headers)

    @classmethod
    def without_length(cls, data: bytes, start: int, end: int) -> tuple[bytes, int | None]:
        """Return the headers without the digits of the content length, and that length.

        No other part of a head depends on the length. The result is a plain tuple for the same
        reason as `CachedRequest`.
        """
        match = cls._LENGTH.search(data, start, end)
        if match is None:
            return data[start:end], None
        return data[start : match.start(1)] + data[match.end(1) : end], int(match[1])

    def lookup(self, data: bytes) -> CachedRequest | None:
        """Return the parsed head of a request, or None if its headers aren't in the cache."""
        line_end, head_end = data.find(b"\r\n"), data.find(b"\r\n\r\n") + 4
        if head_end < 4:
            return None
        headers, length = self.without_length(data, line_end, head_end)
        if headers not in self._request_headers:
            return None
        line = self._REQUEST_LINE.fullmatch(data, 0, line_end)
        if line is None:
            return None
        return line[1].decode(), line[2].decode(), head_end, length or 0

    def encode_head(self, response: Response) -> bytes:
        """Return the encoded head of a response."""
        key = (response.status, response.type, tuple(response.headers))
        head = self._response_heads.get(key)
        if head is None:
            head = self._encode_with_h11(response)
            put_bounded(self._response_heads, key, head)
        return b"%b%d%b" % (head[0], len(response.body), head[1])

    def _encode_with_h11(self, response: Response) -> tuple[bytes, bytes]:
        connection = h11.Connection(h11.SERVER)
        connection.receive_data(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        connection.next_event()
        connection.next_event()
        head = connection.send(h11_response(response, self.PLACEHOLDER)) or b""
        before, _, after = head.partition(self.PLACEHOLDER.encode())
        return before, after


def h11_response(response: Response, length: str) -> h11.Response:
    """Return a response's head as an h11 event, with `length` as its content length."""
    headers = [
        ("Content-Type", response.type),
        ("Content-Length", length),
        *response.headers,
    ]
    return h11.Response(status_code=response.status, headers=headers)


def put_bounded(cache: dict[K, V], key: K, value: V) -> None:
    """Add an entry; a full cache is cleared first, since recurring keys are soon cached again."""
    if len(cache) >= HeaderCache.MAX_ENTRIES:
        cache.clear()
    cache[key] = value
