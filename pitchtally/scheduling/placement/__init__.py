"""Planning within a shard: survey, machine queues, task starts, preemption, statuses.

State: the machine groups, queues and capacities inside each `ShardState`. `Survey` rebuilds them
once per planning round; `Allotment` and `Placer` update them in between.

Invariant: a task starts only on a machine that its job allows and that has the capacity, and
only within its shard's share of the team's limit.
"""
