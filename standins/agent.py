"""A simulated agent: sends heartbeats, executes commands, checks its lease and runs tasks."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import trio

from pitchtally.http import HttpError, Request, Response

from .machine_tasks import MachineTasks
from .network import AGENT_HEARTBEAT_PATH, COMMANDS_PATH, CURRENT_HOST

if TYPE_CHECKING:
    from .cloud import World

HEARTBEAT_TIMEOUT_S = 4.0  # replies that arrive later are ignored
RETRY_DELAY_S = 1.0  # between a failed heartbeat and the next controller
MIN_HEARTBEAT_INTERVAL_S = 0.5  # also after a change of status
TICK_S = 0.1  # interval between checks of the tasks and of the lease
HUNG_POLL_INTERVAL_S = 0.05


class Agent:
    """The agent of one machine, which may hang, restart, fail its tasks or be preempted."""

    def __init__(
        self, world: World, name: str, type_: str, zone: str, spot: bool, port: int
    ) -> None:
        self.world = world
        self.name, self.type, self.zone, self.spot = name, type_, zone, spot
        self.address = f"{world.host}:{port}"
        self.epoch, self.sequence, self.fencing_token = 1, 0, 0
        self.status_changed = trio.Event()  # triggers the next heartbeat early
        self.executor = MachineTasks(self)
        self.tasks = self.executor.tasks
        self.launched_at = self.lease_renewed_at = trio.current_time()
        # Index of the controller that receives the heartbeats.
        self.controller_index = world.random.randrange(len(world.controllers))
        self.terminated = False
        self.fails_tasks = False  # every started task ends with an error
        self.preemption_at: float | None = None  # announced time of the preemption
        self.hung = False
        self.inbox: list[Request] = []  # command requests received while hung

    # --- machine faults ---------------------------------------------------------------

    async def hang(self, seconds: float) -> None:
        """Suspend the machine for some seconds; then resume, even if its lease has expired."""
        self.hung = True
        await trio.sleep(seconds)
        self.hung = False
        for task in self.tasks.values():
            task.state_since += seconds  # tasks make no progress while hung
        self._check_lease()
        inbox, self.inbox = self.inbox, []
        for request in inbox:
            await self.handle(request)
        self.status_changed.set()

    def restart(self) -> None:
        """Restart between two heartbeats: all tasks are lost and the agent epoch increases."""
        self.executor.drop_all()
        self.epoch += 1
        self.lease_renewed_at = trio.current_time()
        self.status_changed.set()

    def terminate(self) -> None:
        """Terminate the machine and its tasks."""
        self.terminated = True
        self.executor.drop_all()

    def free_cpus(self) -> float:
        """Return the number of CPUs that no active task uses."""
        return self.executor.free_cpus()

    # --- heartbeats -------------------------------------------------------------------

    async def run(self) -> None:
        """Send heartbeats and run tasks until the machine is terminated."""
        CURRENT_HOST.set(self.name)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_tasks)
            while not self.terminated:
                await self._wait_while_hung()
                await self._exchange_heartbeat()
                await trio.sleep(MIN_HEARTBEAT_INTERVAL_S)
                with trio.move_on_after(
                    max(0.0, self.world.times.report_s - MIN_HEARTBEAT_INTERVAL_S)
                ):
                    await self.status_changed.wait()
                self.status_changed = trio.Event()
            nursery.cancel_scope.cancel()

    async def _wait_while_hung(self) -> None:
        while self.hung:
            await trio.sleep(HUNG_POLL_INTERVAL_S)

    def heartbeat(self) -> dict[str, Any]:
        """Return a heartbeat body with the next sequence number."""
        self.sequence += 1
        seconds_left = None
        if self.preemption_at is not None:
            seconds_left = max(0.0, self.preemption_at - trio.current_time())
        return {
            "vat": self.name,
            "address": self.address,
            "press": self.type,
            "parcel": self.zone,
            "recallS": seconds_left,
            "gleaning": self.spot,
            "shift": self.epoch,
            "tally": self.sequence,
            "seal": self.fencing_token,
            "rows": [task.heartbeat_entry(name) for name, task in self.tasks.items()],
        }

    async def _exchange_heartbeat(self) -> None:
        dispatched_at, epoch = trio.current_time(), self.epoch
        response = await self._send_heartbeat()
        await self._wait_while_hung()
        timed_out = trio.current_time() - dispatched_at > HEARTBEAT_TIMEOUT_S
        if self.terminated or epoch != self.epoch or timed_out:
            return
        if response.status == 200:
            self._handle_reply(json.loads(response.body), dispatched_at)
        elif not self._follow_redirect(response):
            await trio.sleep(RETRY_DELAY_S)
            self.controller_index = (self.controller_index + 1) % len(self.world.controllers)
            self.status_changed.set()

    async def _send_heartbeat(self) -> Response:
        body = json.dumps(self.heartbeat()).encode()
        address = self.world.controllers[self.controller_index].address
        try:
            return await self.world.network.call(
                address, "POST", AGENT_HEARTBEAT_PATH, body, timeout=HEARTBEAT_TIMEOUT_S
            )
        except HttpError:
            return Response(0)

    def _handle_reply(self, reply: dict[str, Any], dispatched_at: float) -> None:
        if reply.get("seal", -1) < self.fencing_token:
            return
        self._raise_token(reply["seal"])
        self.lease_renewed_at = dispatched_at
        self.executor.execute(reply["orders"])

    def _follow_redirect(self, response: Response) -> bool:
        """Switch to the controller named in a 421 reply; return whether there was a new one."""
        if response.status != 421:
            return False
        target = json.loads(response.body).get("steward")
        names = [controller.name for controller in self.world.controllers]
        if target not in names or names.index(target) == self.controller_index:
            return False
        self.controller_index = names.index(target)
        self.status_changed.set()
        return True

    def _raise_token(self, token: int) -> None:
        if token > self.fencing_token:
            self.fencing_token = token
            self.status_changed.set()

    # --- direct commands --------------------------------------------------------------

    async def handle(self, request: Request) -> Response:
        """Answer direct commands or a status request; never answer while hung or terminated.

        Commands with an old fencing token or another agent epoch get status 409.
        """
        if self.hung and request.path == COMMANDS_PATH:
            self.inbox.append(request)
        if self.terminated or self.hung:
            await trio.sleep_forever()
        if request.path == "/status":
            return self._status_response(200)
        body = json.loads(request.body)
        if body["seal"] < self.fencing_token or body["shift"] != self.epoch:
            return self._status_response(409)
        self._raise_token(body["seal"])
        self.executor.execute(body["orders"])
        return self._status_response(200)

    def _status_response(self, status: int) -> Response:
        return Response(status, json.dumps(self.heartbeat()).encode())

    # --- lease ------------------------------------------------------------------------

    async def _run_tasks(self) -> None:
        while True:
            await trio.sleep(TICK_S)
            self.world.rules.check()
            # Also checked while hung: the tasks of a hung machine are lost at lease expiry.
            self._check_lease()
            if not self.hung:
                self.executor.advance()

    def _check_lease(self) -> None:
        now = trio.current_time()
        if now - self.lease_renewed_at <= self.world.times.lease_s:
            return
        lost = sum(1 for task in self.tasks.values() if task.active)
        self.world.rules.tasks_lost_to_lease_expiry += lost
        self.executor.drop_all()
        self.epoch += 1
        self.lease_renewed_at = now
        self.status_changed.set()
