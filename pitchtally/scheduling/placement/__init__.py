"""Within a shard: survey, allotment to machine queues, starts, preemption, own statuses.

State: the machine groups, queues and capacities inside each `ShardState`, renewed by `Survey`
once a planning round and kept up by `Allotment` and `Placer` between rounds.

Invariant: a task starts only on a machine that its job allows and that has the capacity, and
only within its shard's share of the team's limit.
"""
