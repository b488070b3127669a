"""An in-memory network between named hosts, into which tests inject faults.

Partitions lose requests and replies. Requests can also be refused, delayed, held back,
duplicated, or recorded and replayed; replies can be delayed. Faults are set by host name and
last until `heal`.
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

# One direction of traffic: from the first host to the second.
Link = tuple[str, str]

# The host that the current trio task belongs to, and the host whose request it handles.
CURRENT_HOST: contextvars.ContextVar[str] = contextvars.ContextVar("here", default="user")
CALLER: contextvars.ContextVar[str] = contextvars.ContextVar("caller", default="user")

AGENT_HEARTBEAT_PATH = "/v1/report"
COMMIT_PATH = "/commit"
COMMANDS_PATH = "/commands"

# Shortest and longest delay of a postponed transaction or direct command.
COMMIT_DELAY_S = (2.0, 12.0)
COMMAND_DELAY_S = (2.0, 16.0)
MIN_DUPLICATE_DELAY_S = 2.0
# After this time the handler of a request that was held back or replayed is cancelled.
DELIVERY_TIMEOUT_S = 5.0


class MonkeyPatch(Protocol):
    """The part of pytest's monkeypatch fixture that `Network.install` uses."""

    def setattr(self, target: object, name: str, value: object) -> None:
        """Replace an attribute until the test ends."""


@dataclass(frozen=True, slots=True)
class Packet:
    """A request in transit, with its sender and its destination."""

    sender: str
    address: Address
    request: Request


class Network:
    """Delivers requests between hosts, which listen at addresses, and applies the faults.

    Shares are probabilities from 0 to 1; delays are in seconds.
    """

    def __init__(self, seed: int = 1) -> None:
        self.hosts: dict[Address, tuple[str, Handler]] = {}
        self.partitions: set[Link] = set()  # links that lose all packets
        self.crashed: set[str] = set()
        self.duplicate_after: dict[Link, float] = {}  # delay of the duplicate of each request
        self.reply_loss: dict[Link, float] = {}  # share of lost replies, by link of the request
        self.refused_connections: set[Link] = set()  # links on which calls fail without delay
        self.partitioned_outbound: set[str] = set()  # hosts whose requests are lost
        self.reply_delay: dict[Link, float] = {}  # delay of replies, by link of the request
        # Requests on these links are kept until `release_held_back` delivers them in order.
        self.held_back_links: set[Link] = set()
        self.held_back: list[Packet] = []
        self.delayed_commits = 0.0  # share of transactions applied late, without a reply
        self.lost_commit_replies = 0.0  # share of transactions whose reply is lost
        self.delayed_commands = 0.0  # share of direct commands delivered late, without a reply
        self.duplicated_heartbeats = 0.0  # share of agent heartbeats delivered twice
        self.max_duplicate_delay = 30.0  # longest delay of a duplicated agent heartbeat
        self.recorded_heartbeats = 0.0  # share of agent heartbeats kept for `replay_recorded`
        self.recorded: list[Packet] = []
        self.random = random.Random(seed)
        self.nursery: trio.Nursery | None = None

    # --- faults -------------------------------------------------------------

    def partition(self, host: str, other: str, *, both_ways: bool = True) -> None:
        """Lose all packets between two hosts, or only those from `host`; `*` is any host."""
        self.partitions.add((host, other))
        if both_ways:
            self.partitions.add((other, host))

    def partition_inbound(self, name: str) -> None:
        """Lose all packets to a host: its own requests are delivered, their replies are lost."""
        self.partitions.add((ANY_HOST, name))

    def hold_back(self, host: str, other: str) -> None:
        """Hold back the requests between two hosts until `release_held_back` is called."""
        self.held_back_links |= {(host, other), (other, host)}

    def release_held_back(self) -> None:
        """Deliver the requests that were held back, in order, and stop holding requests back."""
        self.held_back_links.clear()
        packets, self.held_back = self.held_back, []
        self._deliver_in_order(packets)

    def replay_recorded(self, *names: str) -> None:
        """Deliver the recorded agent heartbeats in order, each to all of the given hosts."""
        addresses = [address for address, (name, _) in self.hosts.items() if name in names]
        recorded, self.recorded = self.recorded, []
        self._deliver_in_order(
            [
                Packet(packet.sender, address, packet.request)
                for packet in recorded
                for address in addresses
            ]
        )

    def heal(self) -> None:
        """End all faults except crashes, and release the requests that were held back."""
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
        """Send a request from the current host.

        Raises HttpError if the connection is refused or no reply arrives within the timeout,
        in seconds.
        """
        sender = CURRENT_HOST.get()
        host = self.hosts.get(address)
        with trio.move_on_after(timeout):
            await trio.sleep(0.001 + self.random.random() * 0.002)
            if (
                host is None
                or host[0] in self.crashed
                or (sender, host[0]) in self.refused_connections
            ):
                raise HttpError("connection refused")
            receiver, handler = host
            if self._is_partitioned(sender, receiver) or sender in self.partitioned_outbound:
                await trio.sleep_forever()
            path, query = split_target(target.encode())
            packet = Packet(sender, address, Request(method, path, query, body))
            if (sender, receiver) in self.held_back_links:
                self.held_back.append(packet)
                await trio.sleep_forever()
            if self._postpone(path, packet):
                await trio.sleep_forever()
            self._duplicate(path, receiver, packet)
            response = await self._serve(sender, receiver, handler, packet.request)
            await trio.sleep(self.reply_delay.get((sender, receiver), 0.0))
            if self._is_reply_lost(sender, receiver, path):
                await trio.sleep_forever()
            await trio.sleep(0.001)
            return response
        raise HttpError("no reply before the timeout")

    def _is_partitioned(self, sender: str, receiver: str) -> bool:
        return any(
            link in self.partitions
            for link in ((sender, receiver), (sender, ANY_HOST), (ANY_HOST, receiver))
        )

    def _is_reply_lost(self, sender: str, receiver: str, path: str) -> bool:
        if self._is_partitioned(receiver, sender) or receiver in self.crashed:
            return True
        if path == COMMIT_PATH and self._occurs(self.lost_commit_replies):
            return True
        return self._occurs(self.reply_loss.get((sender, receiver), 0.0))

    def _occurs(self, share: float) -> bool:
        """Return whether a fault of this probability occurs."""
        return share > 0 and self.random.random() < share

    def _postpone(self, path: str, packet: Packet) -> bool:
        """Deliver some requests later and without a reply; return whether this is one of them."""
        if path == COMMIT_PATH and self._occurs(self.delayed_commits):
            self._deliver_later(packet, self.random.uniform(*COMMIT_DELAY_S))
            return True
        if path == COMMANDS_PATH and self._occurs(self.delayed_commands):
            self._deliver_later(packet, self.random.uniform(*COMMAND_DELAY_S))
            return True
        return False

    def _duplicate(self, path: str, receiver: str, packet: Packet) -> None:
        """Deliver the request a second time later, or record it, if such a fault is on."""
        delay = self.duplicate_after.get((packet.sender, receiver))
        if path == AGENT_HEARTBEAT_PATH:
            if self._occurs(self.duplicated_heartbeats):
                delay = self.random.uniform(MIN_DUPLICATE_DELAY_S, self.max_duplicate_delay)
            if self._occurs(self.recorded_heartbeats):
                self.recorded.append(packet)
        if delay is not None:
            self._deliver_later(packet, delay)

    # --- delivery -----------------------------------------------------------

    def _deliver_later(self, packet: Packet, delay: float) -> None:
        if self.nursery is not None:
            self.nursery.start_soon(self._deliver_after, delay, packet)

    def _deliver_in_order(self, packets: list[Packet]) -> None:
        if packets and self.nursery is not None:
            self.nursery.start_soon(self._deliver_each, packets)

    async def _deliver_each(self, packets: list[Packet]) -> None:
        for packet in packets:
            with trio.move_on_after(DELIVERY_TIMEOUT_S):
                await self._deliver(packet)

    async def _deliver_after(self, delay: float, packet: Packet) -> None:
        await trio.sleep(delay)
        await self._deliver(packet)

    async def _deliver(self, packet: Packet) -> None:
        """Deliver a request to the host that listens at its address now."""
        host = self.hosts.get(packet.address)
        if host is not None and host[0] not in self.crashed:
            await self._serve(packet.sender, *host, packet.request)

    async def _serve(
        self, sender: str, receiver: str, handler: Handler, request: Request
    ) -> Response:
        """Run the handler as its host, so that the host's faults apply to its own calls."""
        host_token, caller_token = CURRENT_HOST.set(receiver), CALLER.set(sender)
        try:
            return await handler(request)
        finally:
            CURRENT_HOST.reset(host_token)
            CALLER.reset(caller_token)

    @staticmethod
    async def sleep_until_cancelled() -> None:
        """Wait until cancelled, in place of the accept loop of a real server."""
        await trio.sleep_forever()

    def install(self, monkeypatch: MonkeyPatch) -> None:
        """Make every HTTP client and server of this process use this network."""
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
