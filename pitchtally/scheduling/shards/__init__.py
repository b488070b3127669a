"""State of the shards that this controller leads, and the newest status of every shard.

State: a `ShardState` for each led shard (the table `ShardStates.states`), with an allocation for
each job that has tasks there; the statuses of all shards in `ShardStatuses`; release times in
`Deadlines`. Writers: `ShardStates` adds and drops shards and allocations, as a listener of the
agents and of the job index; `task_start.place_task` moves a task from pending to placed;
planning (`placement`, `gangs`, `rebalancing`) changes queues and pending tasks.

Invariant: an unfinished task of a led shard's ranges is either pending or placed, never both,
except while the outcome of a write that moves it to another shard is unknown
(`ShardAllocation.range_write_in_flight`).
"""
