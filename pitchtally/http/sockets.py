"""Reads and writes on non-blocking sockets."""

from __future__ import annotations

import socket

import trio

MAX_READ_BYTES = 16 * 1024  # limit for one read


async def send_all(sock: socket.socket, data: bytes) -> None:
    """Send all bytes; waits only while the socket's send buffer is full."""
    offset = 0
    while True:
        try:
            offset += sock.send(data[offset:] if offset else data)
        except BlockingIOError:
            pass
        if offset == len(data):
            return
        await trio.lowlevel.wait_writable(sock)


def receive(sock: socket.socket, max_bytes: int = MAX_READ_BYTES) -> bytes | None:
    """Return the available bytes: b"" at the end of the stream, None if none have arrived."""
    try:
        return sock.recv(max_bytes)
    except BlockingIOError:
        return None
