"""The endpoint that agents send their heartbeats to."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import msgspec
import trio

from ...http import Request, Response
from ...membership.shards import shard_of
from ...protocol import agent_api
from ..commands.builder import CommandBuilder
from ..led_shard import LedShard
from ..listener import Freshness, Leadership
from ..machine import HeartbeatNumber, Machine
from ..machine_index import MachineIndex
from .response_effect import check_last_response
from .status_intake import StatusIntake

_decode_heartbeat = msgspec.json.Decoder(agent_api.AgentHeartbeat).decode
_encode = msgspec.json.encode


def _redirect(node: str | None) -> Response:
    """421: not the leader of the machine's shard; `node` is, if that is known."""
    return Response(421, _encode(agent_api.Redirect(node)))


def _unavailable() -> Response:
    """503: no lease is renewed, and nothing is commanded."""
    return Response(503, b"{}")


class HeartbeatEndpoint:
    """Responds to heartbeats: redirects, renews leases, and sends commands."""

    def __init__(
        self,
        index: MachineIndex,
        shards: Mapping[int, LedShard],
        leadership: Leadership,
        freshness: Freshness,
        intake: StatusIntake,
        commands: CommandBuilder,
        lease_s: float,
    ):
        """Eight parameters: a heartbeat passes through each of these components."""
        self._index = index
        self._shards = shards
        self._leadership = leadership
        self._freshness = freshness
        self._intake = intake
        self._commands = commands
        self._lease_s = lease_s
        self._shard_count = index.shard_count
        self.responses: Counter[str] = Counter()  # by status, for the log

    async def serve(self, request: Request) -> Response:
        """Respond to a heartbeat."""
        response = self._respond(request)
        self.responses[f"heartbeats_{response.status}"] += 1
        return response

    def _respond(self, request: Request) -> Response:
        """Let a heartbeat pass only if this node leads its shard, and may renew leases."""
        try:
            heartbeat = _decode_heartbeat(request.body)
        except msgspec.MsgspecError as error:
            return Response(400, _encode({"error": str(error)}))
        shard = shard_of(heartbeat.machine, self._shard_count)
        led_shard = self._shards.get(shard)
        token = self._leadership.token(shard)
        if led_shard is None or token is None or token != led_shard.token:
            leader = self._leadership.leader(shard)
            return _redirect(leader if leader != self._leadership.node_name else None)
        if heartbeat.token > token:
            self._leadership.observe_token(shard, heartbeat.token)
            return _redirect(None)
        if self._freshness.cancellations_stale():
            # A cancellation may have been confirmed to a user that we can't hear of: letting
            # the lease expire keeps the promise about its tasks.
            return _unavailable()
        if heartbeat.machine in self._index.terminated:
            return _unavailable()
        return self._respond_as_leader(heartbeat, led_shard)

    def _respond_as_leader(
        self, heartbeat: agent_api.AgentHeartbeat, led_shard: LedShard
    ) -> Response:
        token = led_shard.token
        registered = self._index.machines.get(heartbeat.machine)
        number = HeartbeatNumber(heartbeat.epoch, heartbeat.seq)
        if registered is not None and number <= registered.last_heartbeat:
            # Every heartbeat has its own number: this is a copy, and no agent waits for it.
            return _unavailable()
        if registered is not None:
            check_last_response(registered, heartbeat, self._lease_s)
        machine = self._intake.observe(heartbeat, led_shard, direct=False)
        if machine is None:
            return self._respond_to_old(heartbeat, token, registered)
        machine.last_heartbeat = number
        commands = self._commands.for_heartbeat(machine, heartbeat)
        machine.awaited_commands = [c for c in commands if c.op != agent_api.STOP]
        machine.lease_renewed_at = trio.current_time()
        return Response(200, _encode(agent_api.HeartbeatResponse(token, commands)))

    def _respond_to_old(
        self, heartbeat: agent_api.AgentHeartbeat, token: int, machine: Machine | None
    ) -> Response:
        """Respond to a heartbeat that may be older than what is known.

        Without our fencing token it may be a copy of any age: it earns the token, no more.
        With it, the answer to a call overtook it: the agent counts its lease from this
        heartbeat, which it sent before that answer. The response renews the lease, so it
        carries the stops for jobs that are over: of those nothing is wanted, whichever attempt
        it is and however old the heartbeat.
        """
        if machine is not None:
            machine.lease_renewed_at = max(machine.lease_renewed_at, machine.last_heartbeat_at)
        stops = self._commands.stops_of_closed_jobs(heartbeat)
        return Response(200, _encode(agent_api.HeartbeatResponse(token, stops)))
