"""`python -m standins`: state store, cloud and agents on loopback, for trying out.

Prints a settings file for each controller into a folder, then serves until ended.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import trio

from pitchtally.http import Client, Request, Response, Server

from .cloud import World
from .network import Network
from .state_store import State

TYPES: dict[str, dict[str, Any]] = {
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
STATE, CLOUD, FIRST = 7001, 7002, 7010
NODES = 3

SETTINGS = """\
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
report_s = 1.0
lease_s = 10.0
gang_wait_s = 12.0
gang_peer_s = 3.0
cancel_s = 25.0
"""


class Loopback(Network):
    """The same stand-ins over real sockets."""

    def __init__(self) -> None:
        super().__init__()
        self.client = Client()

    async def call(
        self,
        address: tuple[str, int],
        method: str,
        target: str,
        body: bytes = b"",
        *,
        timeout: float,
    ) -> Response:
        """A call over a real socket."""
        return await self.client.call(address, method, target, body, timeout=timeout)


class Specs(dict[str, dict[str, Any]]):
    """Agents fetch descriptions on their own: here, from the jobs' records."""

    def __init__(self, state: State):
        super().__init__()
        self.state = state

    def get(self, key: str, default: Any = None) -> Any:
        """A job's description, if there is such a job."""
        return self[key] if key in self or f"pt/jobs/{key}" in self.state.items else default

    def __missing__(self, key: str) -> dict[str, Any]:
        record = self.state.items[f"pt/jobs/{key}"][0]
        spec = {"oneZone": False, "spread": False, "gleaning": False, **record["spec"]}
        spec["realS"] = spec.get("ripenS", 1.0)
        self[key] = spec
        return spec


def write_settings(folder: Path) -> None:
    """A settings file for each controller."""
    folder.mkdir(parents=True, exist_ok=True)
    for n in range(NODES):
        members = "\n".join(
            f'[[members]]\nnode_name = "node-{m}"\naddress = "127.0.0.1:{FIRST + 2 * m + 1}"'
            for m in range(NODES)
            if m != n
        )
        text = SETTINGS.format(
            n=n,
            public=FIRST + 2 * n,
            peer=FIRST + 2 * n + 1,
            count=NODES,
            members=members,
            cloud=CLOUD,
            state=STATE,
        )
        (folder / f"node-{n}.toml").write_text(text)


async def main(folder: Path) -> None:
    """Serve the stand-ins until ended."""
    write_settings(folder)
    network, state = Loopback(), State()
    nodes = [(f"node-{n}", ("127.0.0.1", FIRST + 2 * n)) for n in range(NODES)]
    world = World(
        network,
        nodes,
        TYPES,
        report_s=1.0,
        lease_s=10.0,
        cancel_s=25.0,
        gang_wait_s=12.0,
        capacity=12,
    )
    world.rules.specs = Specs(state)
    world.host = "127.0.0.1"

    async def serve(handler: Any, port: int) -> None:
        async def safe(request: Request) -> Response:
            answer: Response = await handler(request)
            return answer

        await Server(safe, max_connections=200, idle_timeout=60, request_timeout=30).serve(
            "127.0.0.1", port
        )

    async with trio.open_nursery() as nursery:
        world.nursery = nursery
        world.listen = lambda agent, port: nursery.start_soon(serve, agent.handle, port)
        nursery.start_soon(state.run)
        nursery.start_soon(serve, state.handle, STATE)
        nursery.start_soon(serve, world.handle, CLOUD)
        for zone in ("a", "b"):
            world.add("small", zone)
        print(f"settings in {folder}; users at 127.0.0.1:{FIRST}", flush=True)
        await trio.sleep_forever()


if __name__ == "__main__":
    try:
        trio.run(main, Path(sys.argv[1] if len(sys.argv) > 1 else "target/try"))
    except KeyboardInterrupt:
        sys.exit(0)
