"""Jobs whose tasks constrain one another: planned, reserved for, started, returned.

State: the capacity booked for plans that statuses can't show yet (`FreeCapacity`), the gang
that machines over several shards are reserved for (`GangPlanner`), and the reservations on
machines (`Machine.reservation`, which preemption sets as well).

Invariant: a gang starts in a shard only when all its tasks there have a machine, and over
several shards all of them start the same attempt.
"""
