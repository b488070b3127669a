"""Which shard gets a job's tasks, and which of them start on a machine.

`scheduler` composes the components and runs two loops: one plans within each shard that this
controller leads, the other plans over all shards. The packages, each built on those before it:

- `shards`: state and allocations of our shards, the newest status of every shard;
- `quotas`: guarantees and limits of teams;
- `gangs`: jobs whose tasks constrain one another;
- `placement`: planning within a shard, and starts on an agent's heartbeat;
- `rebalancing`: pending tasks moved between shards;
- `assignment`: which shard gets a job.

The modules beside them are what all share: the paper's pure functions (`stretch`), pure functions
over jobs and capacities (`capacity`), estimates, deadlines, priority order, and the writer of
ranges, the only one that writes to job records which shard has which tasks of an accepted job.

Invariant: a task starts only in the shard that the durable job record gives it to, under that
shard's fencing token.
"""
