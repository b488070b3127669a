"""The server's connection limit, the client's idle connections, and reused connections."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from pitchtally.http import Client, Request, Response, Server


async def _echo(request: Request) -> Response:
    return Response(200, request.body)


async def _start(nursery: trio.Nursery, server: Server) -> int:
    probe = trio.socket.socket()
    await probe.bind(("127.0.0.1", 0))
    port: int = probe.getsockname()[1]
    probe.close()
    nursery.start_soon(server.serve, "127.0.0.1", port)
    await trio.sleep(0.05)
    return port


async def _exchange(stream: trio.SocketStream, raw: bytes) -> bytes:
    await stream.send_all(raw)
    with trio.fail_after(2):
        return bytes(await stream.receive_some(4096))


GET = b"GET /api HTTP/1.1\r\nHost: x\r\n\r\n"
HEARTBEAT = b"POST /v1/report HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok"


def test_at_the_connection_limit_idle_users_are_closed_before_agents() -> None:
    """At the connection limit a new client is still served, and no agent is disconnected."""

    async def main() -> None:
        server = Server(
            _echo,
            max_connections=6,
            idle_timeout=30,
            request_timeout=2,
            priority_paths=frozenset({"/v1/report"}),
        )
        async with trio.open_nursery() as nursery:
            port = await _start(nursery, server)
            agents = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(3)]
            for agent in agents:
                assert await _exchange(agent, HEARTBEAT)
            users = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(3)]
            for user in users:
                assert await _exchange(user, GET)
            for _ in range(5):
                late_client = await trio.open_tcp_stream("127.0.0.1", port)
                assert (await _exchange(late_client, GET)).startswith(b"HTTP/1.1 200")
            with trio.fail_after(2):
                assert await users[0].receive_some(10) == b""  # it has been idle longest
            for agent in agents:
                assert (await _exchange(agent, HEARTBEAT)).startswith(b"HTTP/1.1 200")
            assert len(server.connections) <= 6
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_connections_without_a_request_are_closed_first() -> None:
    """Clients that connect and send nothing can't exhaust the connection limit."""

    async def main() -> None:
        server = Server(_echo, max_connections=20, idle_timeout=30, request_timeout=2)
        async with trio.open_nursery() as nursery:
            port = await _start(nursery, server)
            idle_streams = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(60)]
            client = Client()
            for _ in range(3):
                response = await client.call(("127.0.0.1", port), "POST", "/x", b"1", timeout=1)
                assert response.status == 200
                client.drop(("127.0.0.1", port))
            assert len(server.connections) <= 20
            for stream in idle_streams:
                await trio.aclose_forcefully(stream)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_hundreds_of_agents_connecting_at_once_are_all_served() -> None:
    """After a failover all agents of the former leader connect at the same moment."""

    async def main() -> None:
        server = Server(
            _echo,
            max_connections=500,
            idle_timeout=30,
            request_timeout=2,
            priority_paths=frozenset({"/v1/report"}),
        )
        served = 0

        async def agent(port: int) -> None:
            nonlocal served
            sock = trio.socket.socket()
            with sock:
                await sock.connect(("127.0.0.1", port))
                await sock.send(HEARTBEAT)
                assert (await sock.recv(4096)).startswith(b"HTTP/1.1 200")
                served += 1
                while served < 300:  # keeps all connections open at the same time
                    await trio.sleep(0.01)

        async with trio.open_nursery() as nursery:
            port = await _start(nursery, server)
            with trio.fail_after(60):
                async with trio.open_nursery() as agents:
                    for _ in range(300):
                        agents.start_soon(agent, port)
            assert served == 300
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_idle_connections_to_many_hosts_are_bounded() -> None:
    """A client that calls ever new machines must not accumulate connections to all of them."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            client, ports = Client(max_idle_per_address=1, max_idle=4, idle_timeout=30), []
            for _ in range(12):
                server = Server(_echo, max_connections=5, idle_timeout=30, request_timeout=2)
                ports.append(await _start(nursery, server))
                await client.call(("127.0.0.1", ports[-1]), "GET", "/", timeout=1)
            assert sum(len(connections) for connections in client.pool.idle.values()) <= 4
            assert len(client.pool.idle) <= 4
            assert ("127.0.0.1", ports[-1]) in client.pool.idle
            nursery.cancel_scope.cancel()

    trio.run(main)


# The data sent after a first request on the same connection, and the expected responses.
LATER_REQUESTS = [
    ([HEARTBEAT, HEARTBEAT], [b"200", b"200"]),
    ([HEARTBEAT[:-1], b"k"], [b"200"]),  # a body in two parts, after a cached head
    ([HEARTBEAT + HEARTBEAT], [b"200", b"200"]),  # pipelined
    ([HEARTBEAT + GET[:5], GET[5:]], [b"200", b"200"]),
    ([HEARTBEAT.replace(b"Host", b"Connection: close\r\nHost")], [b"200", b"closed"]),
    ([HEARTBEAT[:-1]], [b"408", b"closed"]),
    ([b"rubbish\r\n\r\n"], [b"400", b"closed"]),
    ([HEARTBEAT.replace(b"1.1", b"1.0")], [b"200", b"closed"]),
]


@pytest.mark.parametrize(("sent", "expected"), LATER_REQUESTS)
def test_cached_request_heads_are_parsed_as_h11_parses_them(
    sent: list[bytes], expected: list[bytes]
) -> None:
    async def main() -> None:
        server = Server(_echo, max_connections=6, idle_timeout=5, request_timeout=0.3)
        async with trio.open_nursery() as nursery:
            port = await _start(nursery, server)
            for _ in range(2):  # heads are cached on the first connection
                stream = await trio.open_tcp_stream("127.0.0.1", port)
                assert b"200" in await _exchange(stream, HEARTBEAT)
                received = b""
                for piece in sent:
                    await stream.send_all(piece)
                    await trio.sleep(0.05)
                with trio.move_on_after(0.6):
                    while chunk := await stream.receive_some(4096):
                        received += chunk
                    received += b"HTTP/1.1 closed "
                statuses = [line.split(b" ")[0] for line in received.split(b"HTTP/1.1 ")[1:]]
                assert statuses == expected
                await trio.aclose_forcefully(stream)
            nursery.cancel_scope.cancel()

    trio.run(main)
