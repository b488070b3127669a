"""An in-memory network between named hosts, with faults that tests switch on and off.

A call can be cut, refused, slowed down, lost on the way back, held until a cut ends, or
delivered again later. Faults are given by host name and last until `heal`.
"""

from __future__ import annotations

import contextvars
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio

from pitchtally.http import Client, HttpError, Request, Response, Server, split_target

Handler = Callable[[Request], Awaitable[Response]]
Address = tuple[str, int]

# The host on whose behalf the present task runs, and the host that called it.
HERE: contextvars.ContextVar[str] = contextvars.ContextVar("here", default="user")
CALLER: contextvars.ContextVar[str] = contextvars.ContextVar("caller", default="user")

REPORT_PATH = "/v1/report"
COMMIT_PATH = "/commit"
COMMANDS_PATH = "/commands"

# Seconds after which a delayed transaction, or a delayed direct command, is carried out.
LATE_COMMIT = (2.0, 12.0)
LATE_COMMAND = (2.0, 16.0)
LATE_REPORT_LEAST = 2.0
# How long the receiver of a delayed packet may work on it.
DELIVERY_LIMIT = 5.0


@dataclass(frozen=True, slots=True)
class Packet:
    """A request on its way, as the network holds it back."""

    sender: str
    address: Address
    request: Request


class Network:
    """Calls by address; each host has a name, and faults are by name."""

    def __init__(self, seed: int = 1):
        self.hosts: dict[Address, tuple[str, Handler]] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.dead: set[str] = set()
        self.late: dict[tuple[str, str], float] = {}  # executed again after this long
        self.lost: dict[tuple[str, str], float] = {}  # share of answers that are lost
        self.refused: set[tuple[str, str]] = set()  # connections are refused at once
        self.mute: set[str] = set()  # hosts whose own calls get nowhere
        self.slow: dict[tuple[str, str], float] = {}  # seconds until an answer comes
        # A cut that holds packets: calls get no answer, and arrive in order once it ends.
        self.held: set[tuple[str, str]] = set()
        self.packets: list[Packet] = []
        self.late_writes = 0.0  # share of transactions carried out late, unanswered
        self.unanswered_writes = 0.0  # share carried out at once whose answer is lost
        self.late_commands = 0.0  # share of direct commands carried out late, unanswered
        self.late_reports = 0.0  # share of reports of which a copy arrives again later
        self.late_most = 30.0  # seconds, for copies of reports
        self.kept_reports = 0.0  # share of reports of which a copy is kept, see `deliver_kept`
        self.copies: list[Packet] = []
        self.random = random.Random(seed)
        self.nursery: trio.Nursery | None = None

    # --- faults -------------------------------------------------------------

    def cut(self, a: str, b: str, *, both: bool = True) -> None:
        """Lose all packets between two hosts, or those one way; `*` is any host."""
        self.cuts.add((a, b))
        if both:
            self.cuts.add((b, a))

    def deafen(self, name: str) -> None:
        """Calls by the host arrive; nothing comes back, and no call reaches it."""
        self.cuts.add(("*", name))

    def hold(self, a: str, b: str) -> None:
        """Hold the packets between two hosts until `deliver`."""
        self.held |= {(a, b), (b, a)}

    def deliver(self) -> None:
        """The holding cuts end: what they held arrives, in order."""
        self.held.clear()
        packets, self.packets = self.packets, []
        self._deliver_in_order(packets)

    def deliver_kept(self, *names: str) -> None:
        """Copies of reports that were kept (`kept_reports`) arrive at each host, in order."""
        addresses = [a for a, (host, _) in self.hosts.items() if host in names]
        copies, self.copies = self.copies, []
        self._deliver_in_order(
            [Packet(c.sender, address, c.request) for c in copies for address in addresses]
        )

    def heal(self) -> None:
        """All faults end."""
        self.cuts.clear()
        self.late.clear()
        self.lost.clear()
        self.refused.clear()
        self.mute.clear()
        self.slow.clear()
        self.late_writes = self.unanswered_writes = self.late_commands = 0.0
        self.late_reports = self.kept_reports = 0.0
        self.copies.clear()
        self.deliver()

    # --- calls --------------------------------------------------------------

    async def call(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout: float,
    ) -> Response:
        """A request by the present host, with the faults between it and the other."""
        here = HERE.get()
        host = self.hosts.get(address)
        with trio.move_on_after(timeout):
            await trio.sleep(0.001 + self.random.random() * 0.002)
            if host is None or host[0] in self.dead or (here, host[0]) in self.refused:
                raise HttpError("refused")
            name, handler = host
            if self._is_cut(here, name) or here in self.mute:
                await trio.sleep_forever()
            path, query = split_target(target.encode())
            packet = Packet(here, address, Request(method, path, query, body))
            if (here, name) in self.held:
                self.packets.append(packet)
                await trio.sleep_forever()
            if self._delays(path, packet):
                await trio.sleep_forever()
            self._copy(path, name, packet)
            response = await self._serve(here, name, handler, packet.request)
            await trio.sleep(self.slow.get((here, name), 0.0))
            if self._is_answer_lost(here, name, path):
                await trio.sleep_forever()
            await trio.sleep(0.001)
            return response
        raise HttpError("no answer")

    def _is_cut(self, a: str, b: str) -> bool:
        return any(p in self.cuts for p in ((a, b), (a, "*"), ("*", b)))

    def _is_answer_lost(self, here: str, name: str, path: str) -> bool:
        if self._is_cut(name, here) or name in self.dead:
            return True
        if path == COMMIT_PATH and self._happens(self.unanswered_writes):
            return True
        return self._happens(self.lost.get((here, name), 0.0))

    def _happens(self, share: float) -> bool:
        return share > 0 and self.random.random() < share

    def _delays(self, path: str, packet: Packet) -> bool:
        """Whether the request is carried out later instead of now."""
        if path == COMMIT_PATH and self._happens(self.late_writes):
            self._send_later(packet, self.random.uniform(*LATE_COMMIT))
            return True
        if path == COMMANDS_PATH and self._happens(self.late_commands):
            self._send_later(packet, self.random.uniform(*LATE_COMMAND))
            return True
        return False

    def _copy(self, path: str, name: str, packet: Packet) -> None:
        """Copies of the request that arrive later, or are kept for `deliver_kept`."""
        again = self.late.get((packet.sender, name))
        if path == REPORT_PATH:
            if self._happens(self.late_reports):
                again = self.random.uniform(LATE_REPORT_LEAST, self.late_most)
            if self._happens(self.kept_reports):
                self.copies.append(packet)
        if again is not None:
            self._send_later(packet, again)

    # --- delivery -----------------------------------------------------------

    def _send_later(self, packet: Packet, after: float) -> None:
        if self.nursery is not None:
            self.nursery.start_soon(self._arrive_after, after, packet)

    def _deliver_in_order(self, packets: list[Packet]) -> None:
        if packets and self.nursery is not None:
            self.nursery.start_soon(self._arrive_in_order, packets)

    async def _arrive_in_order(self, packets: list[Packet]) -> None:
        for packet in packets:
            with trio.move_on_after(DELIVERY_LIMIT):
                await self._arrive(packet)

    async def _arrive_after(self, after: float, packet: Packet) -> None:
        await trio.sleep(after)
        await self._arrive(packet)

    async def _arrive(self, packet: Packet) -> None:
        """A late packet meets whoever listens there by now."""
        host = self.hosts.get(packet.address)
        if host is not None and host[0] not in self.dead:
            await self._serve(packet.sender, *host, packet.request)

    async def _serve(self, here: str, name: str, handler: Handler, request: Request) -> Response:
        """The handler runs as its host: what it asks of others meets that host's cuts."""
        host, caller = HERE.set(name), CALLER.set(here)
        try:
            return await handler(request)
        finally:
            HERE.reset(host)
            CALLER.reset(caller)

    @staticmethod
    async def wait_for_ever() -> None:
        """What a server does once its host is known."""
        await trio.sleep_forever()

    def install(self, monkeypatch: Any) -> None:
        """Let every client and server of this process use this network."""
        network = self

        async def call(
            self: Client,
            address: Address,
            method: str,
            target: str,
            body: bytes = b"",
            *,
            timeout: float,
        ) -> Response:
            return await network.call(address, method, target, body, timeout=timeout)

        async def serve(self: Server, host: str, port: int) -> None:
            network.hosts[(host, port)] = (HERE.get(), self.handle)
            await trio.sleep_forever()

        monkeypatch.setattr(Client, "call", call)
        monkeypatch.setattr(Server, "serve", serve)
