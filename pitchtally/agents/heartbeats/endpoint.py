"""HTTP endpoint for agent heartbeats."""

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
    """Return 421: this node is not the shard's leader. `node` is the leader, if known."""
    return Response(421, _encode(agent_api.Redirect(node)))


def _unavailable() -> Response:
    """Return 503, which renews no lease and carries no commands."""
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
        command_builder: CommandBuilder,
        lease_s: float,
    ):
        """Initialise with eight parameters, as handling a heartbeat involves each component."""
        self._index = index
        self._shards = shards
        self._leadership = leadership
        self._freshness = freshness
        self._intake = intake
        self._command_builder = command_builder
        self._lease_s = lease_s
        self._shard_count = index.shard_count
        self.responses: Counter[str] = Counter()  # number of responses per HTTP status, for the log

    async def serve(self, request: Request) -> Response:
        """Respond to a heartbeat."""
        response = self._respond(request)
        self.responses[f"heartbeats_{response.status}"] += 1
        return response

    def _respond(self, request: Request) -> Response:
        """Check that this node leads the machine's shard and may renew leases, then respond."""
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
            # Another node may have confirmed a cancellation that has not reached this one.
            # Without a renewal the lease expires, which ends the job's tasks in time.
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
            # Heartbeat numbers are unique, so this is a duplicate; no agent waits for a response.
            return _unavailable()
        if registered is not None:
            check_last_response(registered, heartbeat, self._lease_s)
        machine = self._intake.observe(heartbeat, led_shard, in_command_response=False)
        if machine is None:
            return self._respond_to_stale(heartbeat, token, registered)
        machine.last_heartbeat = number
        commands = self._command_builder.for_heartbeat(machine, heartbeat)
        machine.awaited_commands = [command for command in commands if command.op != agent_api.STOP]
        machine.lease_renewed_at = trio.current_time()
        return Response(200, _encode(agent_api.HeartbeatResponse(token, commands)))

    def _respond_to_stale(
        self, heartbeat: agent_api.AgentHeartbeat, token: int, machine: Machine | None
    ) -> Response:
        """Respond to a heartbeat that may be older than the last processed status.

        A heartbeat without this node's fencing token may be a duplicate of any age, so it
        does not update the machine; the response passes on the token. A heartbeat with
        the token was overtaken by a command response; the agent counts its lease from this
        heartbeat, which it sent before that response. The response renews the lease, so it
        also carries stops for the tasks of ended jobs: these must stop whichever attempt they
        are and however old the heartbeat is.
        """
        if machine is not None:
            machine.lease_renewed_at = max(machine.lease_renewed_at, machine.last_heartbeat_at)
        stops = self._command_builder.stops_of_closed_jobs(heartbeat)
        return Response(200, _encode(agent_api.HeartbeatResponse(token, stops)))
