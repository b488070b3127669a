"""Jobs whose tasks constrain one another: planned, started at once, reserved for, given back.

State: the capacity promised to gangs that statuses can't show yet (`GangPlanner`) and the
reservations on machines (`Machine.reservation`, which preemption sets as well).

Invariant: a gang starts in a shard only when all its tasks there have a machine, and over
several shards all of them start the same attempt.
"""
