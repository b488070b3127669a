"""Jobs: their records, the index of all of them, and the writer of progress.

Duty: hold every accepted job and which of its tasks are finished, and make progress durable.

State: `JobIndex` holds all jobs as the replica shows them; only the replica's listeners change
records, and only `JobIndex.mark_task_finished` adds tasks that are finished but not durable yet.
All writes of records go through `JobCommits`; progress is written by `ProgressWriter`, other
changes by the components that decide on them.

Invariant: the set of a job's finished tasks only grows. A record is written only on the
precondition that it has not changed since it was read, and under the fencing token of a shard
that this node leads (for a user's cancellation, the record's version is the only precondition).
"""
