"""Index of the machines of the shards that this node leads, and of their placements."""

from __future__ import annotations

from collections.abc import Callable, Collection

from ..membership.shards import shard_of
from ..protocol import cloud_api
from .machine import Machine
from .placements import Placements

# Returns the machine types of the current catalog, keyed by name.
MachineTypeLookup = Callable[[], dict[str, cloud_api.MachineType]]


class MachineIndex:
    """Indexes machines by name and by shard; a machine is in both indexes or in neither."""

    def __init__(self, shard_count: int, machine_types: MachineTypeLookup):
        self.shard_count = shard_count
        self.machines: dict[str, Machine] = {}
        self.placements = Placements()
        self.terminated: set[str] = set()  # names confirmed as terminated by the cloud
        self.machines_with_orphans: dict[int, set[str]] = {}  # names, keyed by shard
        self._machine_types = machine_types
        self._by_shard: dict[int, dict[str, Machine]] = {}

    def of_shard(self, shard: int) -> Collection[Machine]:
        """Return the machines of a shard, in the order in which they were added."""
        return self._by_shard.get(shard, {}).values()

    def add(self, name: str, type: str, zone: str, spot: bool, address: str) -> Machine:
        """Add a machine to the shard that its name determines."""
        machine = Machine(name, shard_of(name, self.shard_count), type, zone, spot, address)
        self.update_machine_type(machine)
        self.machines[name] = machine
        self._by_shard.setdefault(machine.shard, {})[name] = machine
        return machine

    def update_machine_type(self, machine: Machine) -> None:
        """Look up the machine's type in the catalog, which may load after the first heartbeat."""
        machine.machine_type = self._machine_types().get(machine.type)

    def remove(self, name: str) -> None:
        """Remove a machine if it is present; its placements must have been removed first."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self._by_shard.get(machine.shard, {}).pop(name, None)

    def remove_shard(self, shard: int) -> None:
        """Remove every machine of a shard, with its placements."""
        self.machines_with_orphans.pop(shard, None)
        for machine in self._by_shard.pop(shard, {}).values():
            for placement in list(machine.placements.values()):
                self.placements.drop(placement)
            del self.machines[machine.name]

    def update_orphans(self, machine: Machine) -> None:
        """Update whether a machine is in `machines_with_orphans`."""
        names = self.machines_with_orphans.setdefault(machine.shard, set())
        if machine.orphans:
            names.add(machine.name)
        else:
            names.discard(machine.name)

    def clear_exits(self, machine: Machine) -> None:
        """Clear the exits and orphans that the agent has listed."""
        machine.exits.clear()
        machine.orphans.clear()
        self.machines_with_orphans.get(machine.shard, set()).discard(machine.name)
