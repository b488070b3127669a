"""Assigns jobs to shards and places their tasks on machines.

`scheduler` composes the components and runs two loops: one plans within each shard that this
controller leads, the other plans over all shards. The packages, each built on those before it:

- `shards`: state and allocations of the shards led here, and the newest status of every shard;
- `quotas`: guarantees and limits of teams;
- `gangs`: jobs whose tasks constrain one another;
- `placement`: planning within a shard, and task starts in the answers to agent heartbeats;
- `rebalancing`: migration of pending tasks between shards;
- `assignment`: the choice of the shards for a job.

The modules next to the packages are shared by all of them: the paper's pure functions
(`stretch`), pure functions over jobs and capacities (`capacity`), estimates, deadlines, the
priority order, and the range writer. Only the range writer changes, in the record of an accepted
job, which shard each task is assigned to.

Invariant: a task starts only in the shard to which the durable job record assigns it, under that
shard's fencing token.
"""
