"""Server and client on real sockets: any input leads to a response or a closed connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
import trio

from pitchtally.http import Client, HttpError, Request, Response, Server


async def handler(request: Request) -> Response:
    if request.path == "/fault":
        raise RuntimeError("on purpose")
    return Response(200, request.body)


async def with_server(body: Callable[[int], Awaitable[None]]) -> None:
    server = Server(
        handler, max_connections=10, idle_timeout=0.5, request_timeout=0.3, max_body=1000
    )
    probe = trio.socket.socket()
    await probe.bind(("127.0.0.1", 0))
    port = probe.getsockname()[1]
    probe.close()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, "127.0.0.1", port)
        await trio.sleep(0.05)
        await body(port)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", b"200"),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n", b"400"),
        (b"POST /fault HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", b"503"),
        (b"\x00\x01rubbish\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhalf", b"408"),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n"
            + b"x" * 2000
            + b"\r\n0\r\n\r\n",
            b"400",
        ),
        (b"GET / HTTP/1.1\r\nX: " + b"y" * 40_000, b"431"),
        (b"", b""),
    ],
)
def test_any_input_gets_a_response_or_closes_the_connection(data: bytes, status: bytes) -> None:
    async def body(port: int) -> None:
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all(data)
        response = b""
        with trio.move_on_after(3):
            response = await stream.receive_some(4096)
        assert response.split(b" ")[1:2] == ([status] if status else [])
        # The next client is served whatever was sent before.
        next_response = await Client().call(("127.0.0.1", port), "POST", "/x", b"ok", timeout=1)
        assert (next_response.status, next_response.body) == (200, b"ok")

    trio.run(with_server, body)


def test_call_without_a_response_times_out() -> None:
    async def never_respond(_stream: trio.SocketStream) -> None:
        await trio.sleep(10)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, never_respond, listeners)
            port = listeners[0].socket.getsockname()[1]
            with pytest.raises(HttpError):
                await Client().call(("127.0.0.1", port), "GET", "/", timeout=0.2)
            nursery.cancel_scope.cancel()

    trio.run(main)
