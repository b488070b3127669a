"""Requests and responses, and the errors that they end in."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_BODY_BYTES = 64 * 1024  # bytes

# Host and port, as sockets take them.
Address = tuple[str, int]


class HttpError(Exception):
    """No usable answer: refused, timed out, reset, or not HTTP."""


class BadRequestError(Exception):
    """A request that is answered with an error status, and ends its connection."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


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


class Target(NamedTuple):
    """A request target, taken apart."""

    path: str
    query: dict[str, str]


def split_target(target: bytes) -> Target:
    """Return path and query of a request target; of a repeated name the last value counts."""
    path, _, query_text = target.decode("latin-1").partition("?")
    query = {}
    for piece in query_text.split("&") if query_text else ():
        name, _, value = piece.partition("=")
        query[name] = value
    return Target(path, query)


def error_response(
    status: int, reason: str, headers: list[tuple[str, str]] | None = None
) -> Response:
    """Return a response whose JSON body holds the reason."""
    text = reason.replace("\\", "/").replace('"', "'")
    return Response(status, f'{{"error":"{text}"}}'.encode(), headers or [])
