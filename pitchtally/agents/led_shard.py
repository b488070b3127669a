"""A shard that this controller leads, with its fencing token and suspect machines."""

from __future__ import annotations

from collections import Counter

import trio

from .machine import Machine, MachineGroupKey

# An attempt number is one integer: the fencing token, then a counter in the low bits.
ATTEMPT_COUNTER_BITS = 24


class LedShard:
    """The state of a shard since its failover to this node.

    A shard is first acquired, then loaded (its recorded machines have been read), then
    reconciled (each of them has reported its status, or is gone).
    """

    def __init__(self, shard: int, token: int):
        self.shard = shard
        self.token = token
        self.acquired_at = trio.current_time()
        self.loaded = False  # whether the replica has reached the failover's revision
        self.reconciled = False
        self.suspects: set[str] = set()  # recorded machines without a status since the failover
        self.suspect_groups: Counter[MachineGroupKey] = Counter()
        self._attempts_issued = 0

    def add_suspect(self, machine: Machine) -> None:
        """Add a recorded machine that may hold tasks of an earlier leader."""
        if machine.name not in self.suspects:
            self.suspects.add(machine.name)
            self.suspect_groups[machine.group] += 1

    def clear_suspect(self, machine: Machine) -> bool:
        """Remove a suspect that has reported or is gone; return True if its group has no other."""
        self.suspects.discard(machine.name)
        self.suspect_groups[machine.group] -= 1
        if self.suspect_groups[machine.group]:
            return False
        del self.suspect_groups[machine.group]
        return True

    def next_attempt(self) -> int:
        """Return an unused attempt number: tokens increase, and are unique across all shards."""
        self._attempts_issued += 1
        return (self.token << ATTEMPT_COUNTER_BITS) + self._attempts_issued
