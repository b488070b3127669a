"""Migrates pending tasks between shards.

Purpose: tasks start in the shard that can start them soonest, whatever their first assignment.

State: only the times of the last rounds. Tasks are migrated only by `TaskMigration`, each time by
one compare-and-swap of the job's record under this controller's fencing token.

Invariant: a task that may have been migrated starts nowhere until the outcome is known.
"""
