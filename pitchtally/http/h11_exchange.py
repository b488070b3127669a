"""Serving one request with h11, for requests whose head isn't in the header cache."""

from __future__ import annotations

import socket

import h11
import trio

from .header_cache import h11_response
from .messages import BadRequestError, Request, Response, error_response, split_target
from .sockets import receive, send_all

MAX_INCOMPLETE_EVENT_BYTES = 16 * 1024  # for a message head or a chunk header
BODY_TOO_LONG = "body: over 64 KiB"
REQUEST_TIMED_OUT = "request timed out"


class H11Exchange:
    """One request read from a connection, and its response."""

    def __init__(
        self, sock: socket.socket, data: bytes, *, max_body: int, request_timeout: float
    ) -> None:
        """Start an exchange.

        `data` has already been read from the socket. `max_body` is in bytes, `request_timeout` in
        seconds.
        """
        self.sock = sock
        self.max_body = max_body
        self.request_timeout = request_timeout
        self.head: h11.Request | None = None  # set once the whole request has been read
        self._connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_INCOMPLETE_EVENT_BYTES
        )
        self._connection.receive_data(data)

    @property
    def is_complete(self) -> bool:
        """Whether request and response are complete and the connection can be reused."""
        connection = self._connection
        return connection.our_state is h11.DONE and connection.their_state is h11.DONE

    @property
    def trailing_data(self) -> bytes:
        """Bytes that were read beyond the end of the request."""
        return bytes(self._connection.trailing_data[0])

    async def read_request(self) -> Request | None:
        """Read the request; return None if the connection ends before it or time runs out.

        A request that was begun but not completed in time gets a 408 response. Raises
        BadRequestError and h11.RemoteProtocolError, which the caller must pass to
        `respond_with_error`.
        """
        request = None
        with trio.move_on_after(self.request_timeout):
            event = await self._next_event()
            if not isinstance(event, h11.Request):
                return None
            request = await self._read_body(event)
            self.head = event
        if request is None:
            connection = self._connection
            request_begun = connection.their_state is not h11.IDLE
            if connection.our_state is h11.SEND_RESPONSE and request_begun:
                await self.respond(error_response(408, REQUEST_TIMED_OUT))
        return request

    async def respond_with_error(self, error: BadRequestError | h11.RemoteProtocolError) -> None:
        """Respond to an unreadable request with the error's status, if no response was begun."""
        if isinstance(error, BadRequestError):
            await self.respond(error_response(error.status, str(error)))
        elif self._connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self.respond(error_response(error.error_status_hint, "not HTTP"))

    async def respond(self, response: Response) -> None:
        """Send a response."""
        connection = self._connection
        data = connection.send(h11_response(response, str(len(response.body)))) or b""
        data += connection.send(h11.Data(data=response.body)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        await send_with_timeout(self.sock, data, self.request_timeout)

    async def _read_body(self, head: h11.Request) -> Request:
        await self._check_headers(head)
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("connection closed before the end of the request")
            body += event.data
            if len(body) > self.max_body:
                raise BadRequestError(400, BODY_TOO_LONG)
        path, query = split_target(head.target)
        return Request(head.method.decode("latin-1"), path, query, bytes(body))

    async def _check_headers(self, head: h11.Request) -> None:
        for name, value in head.headers:
            if name == b"content-length" and value.isdigit() and int(value) > self.max_body:
                raise BadRequestError(400, BODY_TOO_LONG)
            if name == b"expect" and value.lower() == b"100-continue":
                interim_response = h11.InformationalResponse(status_code=100, headers=[])
                data = self._connection.send(interim_response) or b""
                await send_with_timeout(self.sock, data, self.request_timeout)

    async def _next_event(self) -> object:
        while True:
            event = self._connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            await trio.lowlevel.wait_readable(self.sock)
            data = receive(self.sock)
            if data is not None:
                self._connection.receive_data(data)


async def send_with_timeout(sock: socket.socket, data: bytes, timeout: float) -> None:
    """Send all bytes; raises BrokenResourceError after `timeout` seconds."""
    with trio.move_on_after(timeout) as scope:
        await send_all(sock, data)
    if scope.cancelled_caught:
        raise trio.BrokenResourceError
