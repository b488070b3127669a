"""Reads and writes on non-blocking sockets."""

from __future__ import annotations

import socket

import trio

CHUNK = 16 * 1024  # bytes that one read takes at most


async def send_all(sock: socket.socket, data: bytes) -> None:
    """Send all bytes; waits only if the socket doesn't take them at once."""
    offset = 0
    while True:
        try:
            offset += sock.send(data[offset:] if offset else data)
        except BlockingIOError:
            pass
        if offset == len(data):
            return
        await trio.lowlevel.wait_writable(sock)


def receive(sock: socket.socket, max_bytes: int = CHUNK) -> bytes | None:
    """Return what has arrived: b"" at the end of the stream, None if there is nothing yet."""
    try:
        return sock.recv(max_bytes)
    except BlockingIOError:
        return None
