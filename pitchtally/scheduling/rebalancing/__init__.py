"""Pending tasks moved between shards.

Owns no lasting state but when it last looked. `TaskTransfer` alone gives tasks away, by one
compare-and-swap of the job's record under this controller's fencing token.

Invariant: a task that may have been given away starts nowhere until the outcome is known.
"""
