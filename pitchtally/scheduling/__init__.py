"""Which shard gets a job's tasks, and which of them start on a machine."""
