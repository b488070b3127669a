"""Plans, reserves machines for, starts and returns jobs whose tasks constrain one another.

State: the capacity booked for plans that statuses don't include yet (`FreeCapacity`), the one gang
for which machines may be reserved over several shards (`GangPlanner`), and the reservations on
machines (`Machine.reservation`, which preemption sets as well).

Invariants: a gang starts in a shard only when each of its tasks there has a machine; the shards
of a gang over several shards all start the same attempt.
"""
