"""Requests, responses, and the errors of HTTP calls."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_BODY_BYTES = 64 * 1024

# IPv4 host and port, as the socket functions expect them.
Address = tuple[str, int]


class HttpError(Exception):
    """A call without a valid response: refused, timed out, reset, or not HTTP."""


class BadRequestError(Exception):
    """A request that gets an error status and whose connection is then closed."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class Request:
    """A complete request."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Response:
    """A complete response."""

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    type: str = "application/json"


Handler = Callable[[Request], Awaitable[Response]]


class Target(NamedTuple):
    """The path and the query parameters of a request target."""

    path: str
    query: dict[str, str]


def split_target(target: bytes) -> Target:
    """Split a request target into path and query; the last value of a repeated name is used."""
    path, _, query_text = target.decode("latin-1").partition("?")
    query = {}
    for parameter in query_text.split("&") if query_text else ():
        name, _, value = parameter.partition("=")
        query[name] = value
    return Target(path, query)


def error_response(
    status: int, reason: str, headers: list[tuple[str, str]] | None = None
) -> Response:
    """Return a response whose JSON body contains the reason."""
    escaped_reason = reason.replace("\\", "/").replace('"', "'")
    return Response(status, f'{{"error":"{escaped_reason}"}}'.encode(), headers or [])
