"""`python -m standins [FOLDER]`: a state store, a cloud and agents on loopback, for trials.

Writes a settings file for each controller into the folder, then serves until interrupted.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import trio

from pitchtally.config.settings import AgentTimes
from pitchtally.http import Client, Handler, Response, Server

from .cloud import ControllerAddress, World
from .network import Network
from .state_store import StateStore

MACHINE_TYPES: dict[str, dict[str, Any]] = {
    "small": {
        "vcpus": 8.0,
        "memGb": 32.0,
        "cards": 0.0,
        "rate": 0.5,
        "spotPrice": 0.2,
        "readyS": 3.0,
        "fetchGbPerS": 1.0,
        "parcels": ["a", "b"],
    },
    "cards": {
        "vcpus": 16.0,
        "memGb": 64.0,
        "cards": 2.0,
        "rate": 4.0,
        "spotPrice": 1.5,
        "readyS": 3.0,
        "fetchGbPerS": 1.0,
        "parcels": ["a"],
    },
}
STATE_PORT, CLOUD_PORT = 7001, 7002
FIRST_CONTROLLER_PORT = 7010  # each controller has one port for users and agents, one for peers
CONTROLLERS = 3
HOST = "127.0.0.1"
ZONES = ("a", "b")

AGENT_TIMES = AgentTimes(
    report_s=1.0, lease_s=10.0, gang_wait_s=12.0, gang_peer_s=3.0, cancel_s=25.0
)

SETTINGS_TEMPLATE = """\
node_name = "node-{n}"
domain = "a"
public_addr = "127.0.0.1:{public}"
peer_bind = "127.0.0.1:{peer}"
{members}
[endpoints]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"

[deployment]
count = {count}
zones = ["a", "b"]
clock_off_ms = 5.0

[[deployment.teams]]
name = "desk"
cpus = 16.0
cpus_max = 64.0

[deployment.workers]
report_s = {times.report_s}
lease_s = {times.lease_s}
gang_wait_s = {times.gang_wait_s}
gang_peer_s = {times.gang_peer_s}
cancel_s = {times.cancel_s}
"""


def controller_port(number: int) -> int:
    """Return the port on which a controller serves users and agents."""
    return FIRST_CONTROLLER_PORT + 2 * number


def peer_port(number: int) -> int:
    """Return the port on which a controller serves its peers."""
    return controller_port(number) + 1


class LoopbackNetwork(Network):
    """Sends the requests of the agents over real sockets, without faults."""

    def __init__(self) -> None:
        super().__init__()
        self._client = Client()

    async def call(
        self,
        address: tuple[str, int],
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout: float,
    ) -> Response:
        """Send a request over a real socket."""
        return await self._client.call(address, method, target, body, timeout=timeout)


class JobSpecs(dict[str, dict[str, Any]]):
    """Job specifications, which agents fetch themselves: here from the stored job records."""

    def __init__(self, state_store: StateStore) -> None:
        super().__init__()
        self.state_store = state_store

    def get(self, key: str, default: Any = None) -> Any:
        """Return the specification of a job, or the default if there is no such job."""
        return self[key] if key in self or f"pt/jobs/{key}" in self.state_store.items else default

    def __missing__(self, key: str) -> dict[str, Any]:
        record = self.state_store.items[f"pt/jobs/{key}"].value
        spec = {"oneZone": False, "spread": False, "gleaning": False, **record["spec"]}
        spec["realS"] = spec.get("ripenS", 1.0)
        self[key] = spec
        return spec


def write_settings(folder: Path) -> None:
    """Write the settings file of each controller."""
    folder.mkdir(parents=True, exist_ok=True)
    for n in range(CONTROLLERS):
        members = "\n".join(
            f'[[members]]\nnode_name = "node-{m}"\naddress = "{HOST}:{peer_port(m)}"'
            for m in range(CONTROLLERS)
            if m != n
        )
        text = SETTINGS_TEMPLATE.format(
            n=n,
            public=controller_port(n),
            peer=peer_port(n),
            count=CONTROLLERS,
            members=members,
            cloud=CLOUD_PORT,
            state=STATE_PORT,
            times=AGENT_TIMES,
        )
        (folder / f"node-{n}.toml").write_text(text)


async def main(folder: Path) -> None:
    """Write the settings files and serve the stand-ins until cancelled."""
    write_settings(folder)
    network, state_store = LoopbackNetwork(), StateStore()
    controllers = [
        ControllerAddress(f"node-{n}", (HOST, controller_port(n))) for n in range(CONTROLLERS)
    ]
    world = World(
        network,
        controllers,
        MACHINE_TYPES,
        AGENT_TIMES,
        capacity=12,
    )
    world.rules.specs = JobSpecs(state_store)
    world.host = HOST

    async def serve(handler: Handler, port: int) -> None:
        await Server(handler, max_connections=200, idle_timeout=60, request_timeout=30).serve(
            "127.0.0.1", port
        )

    async with trio.open_nursery() as nursery:
        world.nursery = nursery
        world.listen = lambda agent, port: nursery.start_soon(serve, agent.handle, port)
        nursery.start_soon(state_store.run)
        nursery.start_soon(serve, state_store.handle, STATE_PORT)
        nursery.start_soon(serve, world.handle, CLOUD_PORT)
        for zone in ZONES:
            world.add("small", zone)
        print(f"settings in {folder}; users at {HOST}:{controller_port(0)}", flush=True)
        await trio.sleep_forever()


if __name__ == "__main__":
    try:
        trio.run(main, Path(sys.argv[1] if len(sys.argv) > 1 else "target/try"))
    except KeyboardInterrupt:
        sys.exit(0)
