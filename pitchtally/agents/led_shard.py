"""A shard that this controller leads: its fencing token, and which machines are suspect."""

from __future__ import annotations

from collections import Counter

import trio

from .machine import Machine, MachineGroupKey

# Attempt numbers are (fencing token, count) in one integer: so many bits count.
ATTEMPT_COUNTER_BITS = 24


class LedShard:
    """The state of a shard from the failover on.

    It is acquired, then loaded (its recorded machines are known), then reconciled (each of
    them has been heard from, or is gone).
    """

    def __init__(self, shard: int, token: int):
        self.shard = shard
        self.token = token
        self.acquired_at = trio.current_time()
        self.loaded = False  # the replica includes everything up to the failover
        self.reconciled = False
        self.suspects: set[str] = set()  # recorded machines not heard since the failover
        self.suspect_groups: Counter[MachineGroupKey] = Counter()
        self._attempts_issued = 0

    def add_suspect(self, machine: Machine) -> None:
        """Note a recorded machine that may hold tasks of an earlier leader."""
        if machine.name not in self.suspects:
            self.suspects.add(machine.name)
            self.suspect_groups[machine.group] += 1

    def clear_suspect(self, machine: Machine) -> bool:
        """The machine is heard or gone; True if it was the last suspect of its group."""
        self.suspects.discard(machine.name)
        self.suspect_groups[machine.group] -= 1
        if self.suspect_groups[machine.group]:
            return False
        del self.suspect_groups[machine.group]
        return True

    def next_attempt(self) -> int:
        """A number that no earlier attempt has: tokens rise, and are unique over all shards."""
        self._attempts_issued += 1
        return (self.token << ATTEMPT_COUNTER_BITS) + self._attempts_issued
