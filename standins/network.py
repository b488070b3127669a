"""An in-memory network between named hosts, with faults that tests switch on and off.

A request or its reply can be lost in a partition, refused, delayed, held back, duplicated, or
recorded and replayed. Faults are given by host name and last until `heal`.
"""

from __future__ import annotations

import contextvars
import random
from dataclasses import dataclass
from typing import Protocol

import trio

from pitchtally.http import (
    Address,
    Client,
    Handler,
    HttpError,
    Request,
    Response,
    Server,
    split_target,
)

ANY_HOST = "*"

# A direction of traffic: from the first host to the second.
Link = tuple[str, str]

# The host on whose behalf the present task runs, and the host that called it.
CURRENT_HOST: contextvars.ContextVar[str] = contextvars.ContextVar("here", default="user")
CALLER: contextvars.ContextVar[str] = contextvars.ContextVar("caller", default="user")

AGENT_HEARTBEAT_PATH = "/v1/report"
COMMIT_PATH = "/commit"
COMMANDS_PATH = "/commands"

# Range of seconds after which a delayed transaction or direct command is carried out.
COMMIT_DELAY_S = (2.0, 12.0)
COMMAND_DELAY_S = (2.0, 16.0)
MIN_DUPLICATE_DELAY_S = 2.0
# Seconds that the receiver of a delayed request may work on it.
DELIVERY_TIMEOUT_S = 5.0


class MonkeyPatch(Protocol):
    """The part of pytest's fixture that `Network.install` uses."""

    def setattr(self, target: object, name: str, value: object) -> None:
        """Replace an attribute until the test ends."""


@dataclass(frozen=True, slots=True)
class Packet:
    """A request on its way, held back or recorded by the network."""

    sender: str
    address: Address
    request: Request


class Network:
    """Carries calls between hosts; hosts listen at addresses, faults are by host name."""

    def __init__(self, seed: int = 1) -> None:
        self.hosts: dict[Address, tuple[str, Handler]] = {}
        self.partitions: set[Link] = set()  # links that lose all packets
        self.crashed: set[str] = set()
        self.duplicate_after: dict[Link, float] = {}  # seconds
        self.reply_loss: dict[Link, float] = {}  # share of replies that are lost
        self.refused_connections: set[Link] = set()  # at once
        self.partitioned_outbound: set[str] = set()  # hosts whose calls are lost
        self.reply_delay: dict[Link, float] = {}  # seconds
        # Links that hold requests back: they arrive in order once `release_held_back` is called.
        self.held_back_links: set[Link] = set()
        self.held_back: list[Packet] = []
        self.delayed_commits = 0.0  # share carried out late and not answered
        self.lost_commit_replies = 0.0  # share whose reply is lost
        self.delayed_commands = 0.0  # share carried out late and not answered
        self.duplicated_heartbeats = 0.0  # share that arrives again later
        self.max_duplicate_delay = 30.0  # seconds, for agent heartbeats
        self.recorded_heartbeats = 0.0  # share kept for `replay_recorded`
        self.recorded: list[Packet] = []
        self.random = random.Random(seed)
        self.nursery: trio.Nursery | None = None

    # --- faults -------------------------------------------------------------

    def partition(self, a: str, b: str, *, both_ways: bool = True) -> None:
        """Lose all packets between two hosts, or only those from a to b; `*` is any host."""
        self.partitions.add((a, b))
        if both_ways:
            self.partitions.add((b, a))

    def partition_inbound(self, name: str) -> None:
        """Partition a host one way: its calls arrive, but no reply and no call reaches it."""
        self.partitions.add((ANY_HOST, name))

    def hold_back(self, a: str, b: str) -> None:
        """Hold back the requests between two hosts until `release_held_back`."""
        self.held_back_links |= {(a, b), (b, a)}

    def release_held_back(self) -> None:
        """Deliver the requests that were held back, in order, and hold back no more."""
        self.held_back_links.clear()
        packets, self.held_back = self.held_back, []
        self._deliver_in_order(packets)

    def replay_recorded(self, *names: str) -> None:
        """Deliver the recorded agent heartbeats to each of these hosts, in order."""
        addresses = [a for a, (host, _) in self.hosts.items() if host in names]
        recorded, self.recorded = self.recorded, []
        self._deliver_in_order(
            [Packet(p.sender, address, p.request) for p in recorded for address in addresses]
        )

    def heal(self) -> None:
        """End all faults."""
        self.partitions.clear()
        self.duplicate_after.clear()
        self.reply_loss.clear()
        self.refused_connections.clear()
        self.partitioned_outbound.clear()
        self.reply_delay.clear()
        self.delayed_commits = self.lost_commit_replies = self.delayed_commands = 0.0
        self.duplicated_heartbeats = self.recorded_heartbeats = 0.0
        self.recorded.clear()
        self.release_held_back()

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
        """Send a request from the present host; raises HttpError if no reply comes in time."""
        here = CURRENT_HOST.get()
        host = self.hosts.get(address)
        with trio.move_on_after(timeout):
            await trio.sleep(0.001 + self.random.random() * 0.002)
            if (
                host is None
                or host[0] in self.crashed
                or (here, host[0]) in self.refused_connections
            ):
                raise HttpError("refused")
            name, handler = host
            if self._is_partitioned(here, name) or here in self.partitioned_outbound:
                await trio.sleep_forever()
            path, query = split_target(target.encode())
            packet = Packet(here, address, Request(method, path, query, body))
            if (here, name) in self.held_back_links:
                self.held_back.append(packet)
                await trio.sleep_forever()
            if self._postpone(path, packet):
                await trio.sleep_forever()
            self._duplicate(path, name, packet)
            response = await self._serve(here, name, handler, packet.request)
            await trio.sleep(self.reply_delay.get((here, name), 0.0))
            if self._is_reply_lost(here, name, path):
                await trio.sleep_forever()
            await trio.sleep(0.001)
            return response
        raise HttpError("no answer")

    def _is_partitioned(self, a: str, b: str) -> bool:
        return any(link in self.partitions for link in ((a, b), (a, ANY_HOST), (ANY_HOST, b)))

    def _is_reply_lost(self, here: str, name: str, path: str) -> bool:
        if self._is_partitioned(name, here) or name in self.crashed:
            return True
        if path == COMMIT_PATH and self._occurs(self.lost_commit_replies):
            return True
        return self._occurs(self.reply_loss.get((here, name), 0.0))

    def _occurs(self, share: float) -> bool:
        return share > 0 and self.random.random() < share

    def _postpone(self, path: str, packet: Packet) -> bool:
        """Whether the request was put off, to be carried out later and not answered."""
        if path == COMMIT_PATH and self._occurs(self.delayed_commits):
            self._deliver_later(packet, self.random.uniform(*COMMIT_DELAY_S))
            return True
        if path == COMMANDS_PATH and self._occurs(self.delayed_commands):
            self._deliver_later(packet, self.random.uniform(*COMMAND_DELAY_S))
            return True
        return False

    def _duplicate(self, path: str, name: str, packet: Packet) -> None:
        """Send a duplicate of the request later, or record it, where a fault says so."""
        delay = self.duplicate_after.get((packet.sender, name))
        if path == AGENT_HEARTBEAT_PATH:
            if self._occurs(self.duplicated_heartbeats):
                delay = self.random.uniform(MIN_DUPLICATE_DELAY_S, self.max_duplicate_delay)
            if self._occurs(self.recorded_heartbeats):
                self.recorded.append(packet)
        if delay is not None:
            self._deliver_later(packet, delay)

    # --- delivery -----------------------------------------------------------

    def _deliver_later(self, packet: Packet, after: float) -> None:
        if self.nursery is not None:
            self.nursery.start_soon(self._deliver_after, after, packet)

    def _deliver_in_order(self, packets: list[Packet]) -> None:
        if packets and self.nursery is not None:
            self.nursery.start_soon(self._deliver_each, packets)

    async def _deliver_each(self, packets: list[Packet]) -> None:
        for packet in packets:
            with trio.move_on_after(DELIVERY_TIMEOUT_S):
                await self._deliver(packet)

    async def _deliver_after(self, after: float, packet: Packet) -> None:
        await trio.sleep(after)
        await self._deliver(packet)

    async def _deliver(self, packet: Packet) -> None:
        """Deliver a delayed request to whoever listens at its address by now."""
        host = self.hosts.get(packet.address)
        if host is not None and host[0] not in self.crashed:
            await self._serve(packet.sender, *host, packet.request)

    async def _serve(self, here: str, name: str, handler: Handler, request: Request) -> Response:
        """Run the handler as its host, so that its own calls meet the faults of that host."""
        host, caller = CURRENT_HOST.set(name), CALLER.set(here)
        try:
            return await handler(request)
        finally:
            CURRENT_HOST.reset(host)
            CALLER.reset(caller)

    @staticmethod
    async def sleep_until_cancelled() -> None:
        """Wait until cancelled, as a server does once it is installed."""
        await trio.sleep_forever()

    def install(self, monkeypatch: MonkeyPatch) -> None:
        """Make every client and server of this process use this network."""
        network = self

        async def call(
            _client: Client,
            address: Address,
            method: str,
            target: str,
            body: bytes = b"",
            *,
            timeout: float,
        ) -> Response:
            return await network.call(address, method, target, body, timeout=timeout)

        async def serve(self: Server, host: str, port: int) -> None:
            network.hosts[(host, port)] = (CURRENT_HOST.get(), self.handle)
            await trio.sleep_forever()

        monkeypatch.setattr(Client, "call", call)
        monkeypatch.setattr(Server, "serve", serve)
