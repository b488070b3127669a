"""Who is alive, who owns which shard, who leads, and what nodes tell one another.

There are `deployment.count` shards; a machine belongs to the shard its number
gives. Owning a shard means holding the newest version of `shards/<k>`, and that
version is the token put on machines, so a stale leader is fenced by machines and
store alike, whatever its clock says. The leader of shard 0 leads.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Awaitable, Callable

import msgspec
import trio
from msgspec import Struct

from ..config.policy import Policy
from ..config.settings import Settings
from ..formats.gate import FIRST_FORMAT, FORMAT
from ..http import Client, HttpError, Request, Response
from ..protocol import user_api
from ..state_store import keys, rate_limits
from ..state_store.client import StateStoreClient, Write
from ..state_store.errors import CompareFailed, LeaseExpired, StoreUnavailable
from ..state_store.replica import Replica
from .freshness import NEVER, PeerReply, cancellations_verified, leadership_verified
from .messages import (
    UNNUMBERED,
    Ack,
    Cancellation,
    Cancelled,
    Forward,
    Forwarded,
    Message,
    PeerHeartbeat,
    ScheduleReply,
    ScheduleRequest,
    decode,
    encode,
)
from .peer import Peer

log = logging.getLogger("members")

RETRY_SOON = [("Retry-After", "1")]

CLUSTER_LEADER_SHARD = 0
# Of all sockets: users' requests that one node passes on to others at a time.
FORWARDS = 1 / 80


def shard_of(machine: str, count: int) -> int:
    """The part that a machine's number gives; any other name is spread by its bytes."""
    digits = machine.rpartition("-")[2]
    number = int(digits) if digits.isdigit() and len(digits) < 19 else sum(machine.encode())
    return number % count


def preference(nodes: list[str], shard: int) -> list[str]:
    """The order in which nodes should own a shard: its home first."""
    start = shard % len(nodes)
    return nodes[start:] + nodes[:start]


class ShardLeader(Struct, frozen=True):
    """The record of a shard: who owns it."""

    node: str
    incarnation: str


class NodeRecord(Struct, frozen=True):
    """The record of a living node, bound to its lease."""

    incarnation: str
    # Reaches the store but not its machines. Stored under the name of earlier versions.
    agents_unreachable: bool = msgspec.field(default=False, name="deaf")
    reads: int = FIRST_FORMAT  # the newest stored format that it can read


class Membership:
    """Which nodes live, which shards they own, and what peers have told."""

    def __init__(
        self, settings: Settings, policy: Policy, state_store: StateStoreClient, replica: Replica
    ):
        self.settings = settings
        self.policy = policy
        self.state_store = state_store
        self.replica = replica
        self.me = settings.name
        self.nodes = settings.nodes
        self.count = settings.deployment.count
        # Unlike a time or a counter, this can't repeat after a restart with no disk.
        self.incarnation = f"{random.SystemRandom().getrandbits(64):016x}"
        self.leaders: dict[int, tuple[ShardLeader, int]] = {}
        self.alive: dict[str, NodeRecord] = {}
        self.fences: dict[int, int] = {}
        self.peers = {
            m.name: Peer(m.name, m.address) for m in settings.members if m.name != settings.name
        }
        self.client = Client(max_idle_per_address=2)
        # Users' requests that are passed on must leave connections to heartbeats: a flood of
        # them made peers refuse each other for as long as it took to see that all are cut off.
        connections = settings.deployment.machine_limits.max_connections
        self._forwards = trio.CapacityLimiter(max(2, int(connections * FORWARDS)))
        self.lease: int | None = None
        self.agents_unreachable = False
        self.wake = trio.Event()
        self.held: dict[int, int] = {}  # part -> token, as announced to the slices
        self.started_at = trio.current_time()
        self._tick_at = self.started_at
        self._resumed_at = -1e9
        self._sent = 0  # heartbeats
        self._calls = 0  # messages to peers that call for a reply
        # What was known for certain once stays so, also when whoever told it is gone.
        self._cancellations_verified_at = -1e9
        self._leadership_verified_at = -1e9
        # Filled in by the service.
        self.on_acquired: Callable[[int, int], None] = lambda shard, token: None
        self.on_lost: Callable[[int], None] = lambda shard: None
        self.on_cancel: Callable[[Cancellation], None] = lambda cancellation: None
        self.on_forward: Callable[[Request], Awaitable[Response]]
        self.on_schedule_request: Callable[[user_api.JobSpec], ScheduleReply] = lambda spec: (
            ScheduleReply([])
        )
        self.on_heartbeat: Callable[[PeerHeartbeat], None] = lambda heartbeat: None
        self.add_updates: Callable[[PeerHeartbeat, int], None] = lambda heartbeat, revision: None
        replica.listen(keys.SHARD_PREFIX, self._on_shard)
        replica.listen(keys.NODE_PREFIX, self._on_node)

    # --- following ---------------------------------------------------------

    def _on_shard(self, key: str, value: bytes | None, version: int) -> None:
        shard = int(key)
        if value is None:
            self.leaders.pop(shard, None)
        else:
            self.leaders[shard] = (msgspec.json.decode(value, type=ShardLeader), version)
        self._announce(shard)
        self.wake.set()

    def _on_node(self, name: str, value: bytes | None, version: int) -> None:
        if value is None:
            self.alive.pop(name, None)
        else:
            self.alive[name] = msgspec.json.decode(value, type=NodeRecord)
        # A node that is starting isn't listed yet, so at least one is left for it.
        self.state_store.share_among(min(len(self.nodes), len(self.alive) + 1))
        self.wake.set()

    def _announce(self, shard: int) -> None:
        token = self.token(shard)
        if self.held.get(shard) == token:
            return
        if shard in self.held:
            del self.held[shard]
            log.info("part lost part=%d owner=%s", shard, self.leader(shard))
            self.on_lost(shard)
        if token is not None:
            self.held[shard] = token
            log.info("part taken part=%d token=%d", shard, token)
            self.on_acquired(shard, token)

    # --- what the slices ask -------------------------------------------------

    def token(self, shard: int) -> int | None:
        """This node's token for a shard, None if it isn't the leader."""
        found = self.leaders.get(shard)
        if found is None:
            return None
        leader, token = found
        if leader.node != self.me or leader.incarnation != self.incarnation:
            return None
        return token if self.fences.get(shard, 0) <= token else None

    def leader(self, shard: int) -> str | None:
        """The node that owns a shard, as far as our copy shows."""
        found = self.leaders.get(shard)
        return found[0].node if found else None

    @property
    def cluster_leader_token(self) -> int | None:
        """The leader's token, None if this node doesn't lead."""
        return self.token(CLUSTER_LEADER_SHARD)

    def fenced(self, shard: int, token: int) -> None:
        """A machine has seen a newer token: whatever our copy says, we are not the leader."""
        if token > self.fences.get(shard, 0):
            self.fences[shard] = token
            self._announce(shard)

    def cancellations_verified_at(self) -> float:
        """Up to when no confirmed cancellation can be unknown to this node."""
        known = cancellations_verified(self.replica.verified_at, self._replies())
        self._cancellations_verified_at = max(self._cancellations_verified_at, known)
        return self._cancellations_verified_at

    def leadership_verified_at(self) -> float:
        """Up to when nobody else can have renewed a machine of a shard that we hold."""
        owned = leadership_verified(self.replica.verified_at, self._replies())
        self._leadership_verified_at = max(self._leadership_verified_at, owned)
        return self._leadership_verified_at

    def _replies(self) -> list[PeerReply | None]:
        return [peer.answer for peer in self.peers.values()]

    def verified_cluster_leader(self) -> int | None:
        """The leader's token, None as well if another may have taken the lead by now.

        The cloud knows no tokens: a leader that was cut off, or stood still, must not hire
        and release beside its successor.
        """
        limit = max(trio.current_time() - self.policy.session_ttl, self.resumed_at())
        return self.cluster_leader_token if self.leadership_verified_at() >= limit else None

    def resumed_at(self) -> float:
        """When this process last went on after standing still.

        Its clocks ran on, and all its timers fire at once: nothing heard before counts as
        fresh, and nobody was silent only because we didn't listen. Whoever asks first
        after a stand finds it, whatever the order in which loops go on.
        """
        now = trio.current_time()
        if now - self._tick_at > self.policy.heartbeat_interval / 4 + self.policy.call_timeout:
            log.info("process paused for=%.1f", now - self._tick_at)
            self._resumed_at = self._tick_at = now
        return self._resumed_at

    async def run_pause_detector(self) -> None:
        """Notice pauses of this process, also when nobody asks."""
        self._tick_at = trio.current_time()
        while True:
            await trio.sleep(self.policy.heartbeat_interval / 4)
            self.resumed_at()
            self._tick_at = trio.current_time()

    def may_start_tasks(self) -> bool:
        """Whether what is known of cancellations is recent enough to start tasks on.

        Renewing a lease on older evidence is safe until `max_evidence_age`, since a task that was
        cancelled meanwhile still ends in time. A start is not: users are told that no task
        of a cancelled job begins any more. After a session without any evidence a shard has,
        or soon will have, another leader, and a start here would be wasted anyway.
        """
        return trio.current_time() - self.cancellations_verified_at() <= self.policy.session_ttl

    def cancellations_stale(self) -> bool:
        """Whether a cancellation may be unknown to us for too long to renew leases."""
        return trio.current_time() - self.cancellations_verified_at() > self.policy.max_evidence_age

    # --- the store -------------------------------------------------------------

    async def run_lease(self) -> None:
        """Keep this node's lease, and its record, in the store."""
        ttl = self.policy.session_ttl
        while True:
            try:
                if self.lease is None:
                    self.lease = await self.state_store.grant(ttl)
                else:
                    await self.state_store.renew(self.lease)
                if self.replica.revision < 0:
                    # What stands in our place, if anything, isn't known yet.
                    await trio.sleep(ttl / 20)
                    continue
                node = self.alive.get(self.me)
                if node is None or node != self._own_node():
                    await self._write_node(self.lease)
            except LeaseExpired:
                self.lease = None
                continue
            except CompareFailed:
                # The watch has yet to show what is there: a predecessor's record, or its end.
                await trio.sleep(ttl / 20)
                continue
            except StoreUnavailable as error:
                log.debug("lease: %s", error)
                await trio.sleep(ttl / 20)
                continue
            await trio.sleep(ttl / 3)

    def _own_node(self) -> NodeRecord:
        return NodeRecord(self.incarnation, self.agents_unreachable, FORMAT)

    def answering(self) -> dict[str, str]:
        """The incarnation of each node, ours included, that has answered within a session."""
        limit = trio.current_time() - self.policy.session_ttl
        found = {
            name: p.incarnation for name, p in self.peers.items() if p.last_heartbeat_at >= limit
        }
        found[self.me] = self.incarnation
        return found

    async def _write_node(self, lease: int) -> None:
        """Our record, conditional on the one before: a late write of ours changes nothing."""
        key = keys.node(self.me)
        value = msgspec.json.encode(self._own_node())
        changes = [Write(key, value, lease)]
        revision = await self.state_store.commit(
            {key: self.replica.version(key)}, changes, priority=rate_limits.LEASES
        )
        self.replica.apply_own_commit(changes, revision)

    def set_agents_unreachable(self, unreachable: bool) -> None:
        """Let others have our shards while our machines can't be reached."""
        if unreachable != self.agents_unreachable:
            self.agents_unreachable = unreachable
            log.info("machines %s", "can't be reached" if unreachable else "can be reached again")

    def _wanted(self, shard: int) -> str | None:
        order = preference(self.nodes, shard)
        for accept_unreachable in (False, True):
            for name in order:
                node = self.alive.get(name)
                if node is not None and (accept_unreachable or not node.agents_unreachable):
                    return name
        return None

    async def run_leadership(self) -> None:
        """Take the shards that this node should own."""
        while True:
            with trio.move_on_after(self.policy.heartbeat_interval):
                await self.wake.wait()
            self.wake = trio.Event()
            node = self.alive.get(self.me)
            if self.replica.revision < 0 or node is None or node.incarnation != self.incarnation:
                # What stands there may still be a predecessor's.
                await trio.sleep(0.05)
                continue
            # At a start of all nodes at once, each leaves the others time to appear.
            early = trio.current_time() - self.started_at < self.policy.session_ttl / 2
            for shard in range(self.count):
                if self._wanted(shard) != self.me or self.token(shard) is not None:
                    continue
                if early and preference(self.nodes, shard)[0] != self.me:
                    continue
                try:
                    await self._take(shard)
                except (CompareFailed, LeaseExpired, StoreUnavailable) as error:
                    log.debug("taking part %d: %s", shard, error)
                    await trio.sleep(0.1)

    async def _take(self, shard: int) -> None:
        key = keys.shard(shard)
        node_key = keys.node(self.me)
        mine = self.replica.version(node_key)
        if not mine:
            return
        conditions = {key: self.replica.version(key), node_key: mine}
        value = msgspec.json.encode(ShardLeader(self.me, self.incarnation))
        log.debug("taking part=%d from=%s", shard, self.leader(shard))
        changes = [Write(key, value)]
        revision = await self.state_store.commit(conditions, changes, priority=rate_limits.LEASES)
        self.replica.apply_own_commit(changes, revision)

    # --- peers -------------------------------------------------------------------

    def compose(self, revision: int) -> PeerHeartbeat:
        """Our heartbeat for a peer whose copy of the store covers that revision."""
        self._sent += 1
        now = trio.current_time()
        heartbeat = PeerHeartbeat(
            self.me,
            self.incarnation,
            self._sent,
            self.replica.revision,
            min(NEVER, now - self.replica.verified_at),
            min(NEVER, now - self.cancellations_verified_at()),
            [],
            [],
            [],
            [],
        )
        heartbeat.tokens = [(shard, token) for shard, (_, token) in self.leaders.items()]
        self.add_updates(heartbeat, revision)
        return heartbeat

    async def run_heartbeats(self, peer: Peer) -> None:
        """Ask one peer what it knows, once per interval."""
        while True:
            sent = trio.current_time()
            reply = await self.send(peer, self.compose(peer.revision))
            if isinstance(reply, PeerHeartbeat) and reply.node == peer.name:
                self._take_heartbeat(reply, sent)
                # Only now: what it tells is known here from this moment on.
                peer.answer = PeerReply(sent, reply.store_age, reply.cancellations_age)
                peer.statuses_sent_at = sent
            await trio.sleep(self.policy.heartbeat_interval)

    async def send(self, peer: Peer, message: Message) -> Message | None:
        """One message to a peer; its reply, or None without a usable one."""
        self._calls += 1
        call = self._calls
        body = encode(msgspec.structs.replace(message, call=call))
        try:
            response = await self.client.call(
                peer.address, "POST", "/peer", body, timeout=self.policy.call_timeout
            )
            if response.status != 200:
                raise HttpError(f"status {response.status}")
            reply: Message = decode(response.body)
            if reply.call not in (call, UNNUMBERED):
                raise HttpError("a reply to another message")
        except (HttpError, msgspec.MsgspecError) as error:
            self.client.drop(peer.address)
            if not peer.failing:
                log.info("peer fails peer=%s cause=%s", peer.name, str(error)[:80])
            peer.failing = str(error)
            return None
        if peer.failing:
            log.info("peer answers again peer=%s", peer.name)
            peer.failing = ""
        return reply

    def is_isolated(self) -> bool:
        """No peer has answered of late: others may well be in service."""
        limit = trio.current_time() - self.policy.session_ttl
        return bool(self.peers) and all(p.last_heartbeat_at < limit for p in self.peers.values())

    def peer_with_state_store(self) -> Peer | None:
        """A peer that has just told that it reaches the store, if we don't."""
        now = trio.current_time()
        limit = self.policy.session_ttl
        for peer in self.peers.values():
            answer = peer.answer
            if (
                answer is not None
                and not peer.failing
                and (now - answer.asked_at < limit and answer.store_age < limit)
            ):
                return peer
        return None

    async def forward(self, request: Request) -> Response | None:
        """Let a peer answer a user while this node alone is cut off from the store."""
        peer = self.peer_with_state_store()
        if peer is None:
            return None
        if self._forwards.available_tokens < 1:
            return Response(503, b'{"error":"too many requests to pass on"}', list(RETRY_SOON))
        async with self._forwards:
            found = await self.send(peer, Forward(request.method, request.path, request.body))
        if not isinstance(found, Forwarded):
            return None
        headers = [("Retry-After", found.retry_after)] if found.retry_after else []
        return Response(found.status, found.body, headers)

    async def request_schedule(self, spec: user_api.JobSpec) -> ScheduleReply | None:
        """Ask the leader where a job goes, so that its acceptance can say so.

        Without it the leader would have to write the record once more, and changes are
        scarce: one small job after the other used up the leader's share of them. None if
        we lead ourselves, or if the leader doesn't answer at once; it will find the job.
        """
        leader = self.peers.get(self.leader(CLUSTER_LEADER_SHARD) or "")
        if leader is None or leader.failing:
            return None
        with trio.move_on_after(self.policy.call_timeout / 4):
            reply = await self.send(leader, ScheduleRequest(spec))
            return reply if isinstance(reply, ScheduleReply) else None
        return None

    async def broadcast_cancellation(self, cancellation: Cancellation) -> None:
        """Owners that lost only the store must still stop the job's tasks.

        Sent once, for speed alone: each heartbeat repeats it until the peer's own copy
        covers it, and an leader that hears none of them stops renewing leases.
        """
        async with trio.open_nursery() as nursery:
            for peer in self.peers.values():
                nursery.start_soon(self.send, peer, Cancelled(cancellation))

    async def serve(self, request: Request) -> Response:
        """Answer a message of a peer."""
        try:
            message: Message = decode(request.body)
        except msgspec.MsgspecError:
            return Response(400, b"")
        reply: Message = Ack()
        if isinstance(message, PeerHeartbeat):
            self._take_heartbeat(message, None)
            # What it asks rests on its own words, not on what we remember of it: the
            # answer holds every cancellation newer than the copy that it had as it asked.
            reply = self.compose(message.revision)
            peer = self.peers.get(message.node)
            if (
                peer is not None
                and trio.current_time() - peer.statuses_sent_at
                < self.policy.heartbeat_interval * 1.5
            ):
                # Our own heartbeats bring it our statuses, by far the most of a message; where they
                # are refused, this answer must.
                reply.shards = []
        elif isinstance(message, Cancelled):
            self.on_cancel(message.cancellation)
        elif isinstance(message, ScheduleRequest):
            reply = self.on_schedule_request(message.spec)
        elif isinstance(message, Forward):
            found = await self.on_forward(Request(message.method, message.path, {}, message.body))
            reply = Forwarded(found.status, found.body, dict(found.headers).get("Retry-After", ""))
        reply.call = message.call
        return Response(200, encode(reply), type="application/msgpack")

    def _take_heartbeat(self, heartbeat: PeerHeartbeat, asked_at: float | None) -> None:
        peer = self.peers.get(heartbeat.node)
        if peer is None:
            return
        # Tokens and cancellations are committed: true however late they come.
        for shard, token in heartbeat.tokens:
            mine = self.token(shard)
            if mine is not None and token > mine:
                # Our copy of the store is behind, or cut off from it.
                self.fenced(shard, token)
        for cancellation in heartbeat.cancellations:
            self.on_cancel(cancellation)
        listed = self.alive.get(heartbeat.node)
        if peer.renews(heartbeat, asked_at, listed.incarnation if listed else ""):
            self.on_heartbeat(heartbeat)
