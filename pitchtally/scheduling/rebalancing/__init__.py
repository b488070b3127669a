"""Pending tasks migrated between shards.

Duty: tasks start in the shard that can start them soonest, whatever their first assignment.

State: none but the times of the last rounds. `TaskMigration` alone migrates tasks, by one
compare-and-swap of the job's record under this controller's fencing token.

Invariant: a task that may have been migrated starts nowhere until the outcome is known.
"""
