"""Requests and responses, and what can be wrong with them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

MAX_BODY = 64 * 1024


class HttpError(Exception):
    """No usable answer: refused, timed out, reset, or not HTTP."""


@dataclass(slots=True)
class Request:
    """A request, read whole."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Response:
    """A response, whole."""

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    type: str = "application/json"


Handler = Callable[[Request], Awaitable[Response]]


class BadRequest(Exception):
    """A request that is answered with an error, and ends its connection."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status


def split_target(target: bytes) -> tuple[str, dict[str, str]]:
    """Path and query of a request target."""
    path, _, rest = target.decode("latin-1").partition("?")
    query = {}
    for piece in rest.split("&") if rest else ():
        name, _, value = piece.partition("=")
        query[name] = value
    return path, query


def fault(status: int, reason: str, headers: list[tuple[str, str]] | None = None) -> Response:
    """An error response with a reason in its body."""
    text = reason.replace("\\", "/").replace('"', "'")
    return Response(status, f'{{"error":"{text}"}}'.encode(), headers or [])
