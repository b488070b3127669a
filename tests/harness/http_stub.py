"""Replaces everything that a controller calls, at the level of single HTTP calls."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import pytest

from pitchtally.http import Client, Response


class Call(NamedTuple):
    """The arguments of one `Client.call`; the timeout is in seconds."""

    address: tuple[str, int]
    method: str
    target: str
    body: bytes
    timeout: float


Answer = Callable[[Call], Awaitable[Response]]


def answer_calls(monkeypatch: pytest.MonkeyPatch, answer: Answer) -> None:
    """Make a function answer every call of every client; it may raise HttpError."""

    async def call(
        _client: Client,
        address: tuple[str, int],
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout: float,
    ) -> Response:
        return await answer(Call(address, method, target, body, timeout))

    monkeypatch.setattr(Client, "call", call)
