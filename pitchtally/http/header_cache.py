"""Heads of HTTP messages that h11 has read or written before, known by their bytes."""

from __future__ import annotations

import re
from typing import TypeVar

import h11

from .messages import Response

K = TypeVar("K")


V = TypeVar("V")


class HeaderCache:
    """Heads that h11 has read or written before, by their bytes.

    An agent sends the same headers with each report, and most answers begin alike,
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
        """Remember a request's headers if nothing about them is special."""
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
        """The bytes of a response's head."""
        key = (response.status, response.type, tuple(response.headers))
        found = self.written.get(key)
        if found is None:
            conn = h11.Connection(h11.SERVER)
            conn.receive_data(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            conn.next_event()
            conn.next_event()
            head = conn.send(head_of(response, self.MARK)) or b""
            before, _, after = head.partition(self.MARK.encode())
            found = (before, after)
            remember(self.written, key, found)
        return b"%b%d%b" % (found[0], len(response.body), found[1])


def head_of(response: Response, length: str) -> h11.Response:
    """A response's head as h11 takes it."""
    headers = [
        ("Content-Type", response.type),
        ("Content-Length", length),
        *response.headers,
    ]
    return h11.Response(status_code=response.status, headers=headers)


def remember(memory: dict[K, V], key: K, value: V) -> None:
    """Bounded: what comes again is soon known again."""
    if len(memory) >= HeaderCache.MOST:
        memory.clear()
    memory[key] = value
