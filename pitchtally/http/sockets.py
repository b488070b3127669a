"""Sockets that never block, as a coroutine reads and writes them."""

from __future__ import annotations

import socket

import trio

CHUNK = 16 * 1024


async def send_all(sock: socket.socket, out: bytes) -> None:
    """All of it; where the first try takes all, it costs no more than the call."""
    sent = 0
    while True:
        try:
            sent += sock.send(out[sent:] if sent else out)
        except BlockingIOError:
            pass
        if sent == len(out):
            return
        await trio.lowlevel.wait_writable(sock)


def receive(sock: socket.socket, most: int = CHUNK) -> bytes | None:
    """What has come; b"" at the end, None if it was a false alarm."""
    try:
        return sock.recv(most)
    except BlockingIOError:
        return None
