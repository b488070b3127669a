"""A pooled connection never returns one call's response to another call."""

from __future__ import annotations

import contextlib

import pytest
import trio
import trio.testing

from pitchtally.http import Client

OLD = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
NEW = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew"


@pytest.mark.parametrize(
    "surplus",
    [
        OLD,  # a duplicated response
        b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",  # an unsolicited response
        b"\r\n",
    ],
)
def test_surplus_bytes_between_two_calls_are_discarded(surplus: bytes) -> None:
    """Surplus bytes on a reused connection would be read as the next call's response."""

    async def main() -> None:
        accepted = 0

        async def serve(stream: trio.SocketStream) -> None:
            nonlocal accepted
            accepted += 1
            response = OLD if accepted == 1 else NEW
            with contextlib.suppress(trio.BrokenResourceError):  # the client closes the connection
                while await stream.receive_some(4096):
                    await stream.send_all(response)
                    if response is OLD:
                        await trio.sleep(0.02)
                        await stream.send_all(surplus)

        async with trio.open_nursery() as nursery:
            [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            address = listener.socket.getsockname()
            client = Client()
            first = await client.call(address, "GET", "/x", timeout=1)
            await trio.sleep(0.1)
            second = await client.call(address, "GET", "/x", timeout=1)
            assert (first.body, second.body) == (b"old", b"new")
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_connection_closed_by_the_server_is_not_reused() -> None:
    """A call on such a connection would fail although the server is up."""

    async def main() -> None:
        async def serve(stream: trio.SocketStream) -> None:
            await stream.receive_some(4096)
            await stream.send_all(NEW)
            await stream.aclose()

        async with trio.open_nursery() as nursery:
            [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            address = listener.socket.getsockname()
            client = Client()
            for _ in range(3):
                response = await client.call(address, "GET", "/x", timeout=1)
                assert response.body == b"new"
                await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    trio.run(main)
