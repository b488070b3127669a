"""Jobs: their records, the index of all of them, and the writer of progress.

Duty: know every accepted job and which of its tasks are done, and make progress durable.

State: `JobIndex` holds all jobs as the replica shows them; only the replica's listeners change
records, and `JobIndex.mark_task_finished` alone adds tasks that are done but not durable yet. All
writes of records go through `JobCommits`; progress is written by `ProgressWriter`, other
changes by the components that decide on them.

Invariant: the set of a job's finished tasks only ever grows, and a record is written only on
the condition that nobody has changed it since it was read, under the fencing token of a shard
that this node leads (a user's cancellation rests on the record's version alone).
"""
