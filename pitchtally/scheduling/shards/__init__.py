"""The state of the shards that this controller leads, and the newest status of every shard.

State: a `ShardState` for each of our shards (the table `ShardStates.states`), with an allocation
for each job that has tasks there; the statuses of all shards in `ShardStatuses`; release times in
`Deadlines`. Who may change it: `ShardStates` adds and drops shards and allocations, as a listener
of the agents and of the job index; `task_start.place_task` moves a task from pending to placed;
planning (`placement`, `gangs`, `rebalancing`) changes queues and pending tasks.

Invariant: a task of our ranges that isn't finished is either pending or placed, never both,
except while a write that gives it to another shard is unresolved (`ShardAllocation.moving`).
"""
