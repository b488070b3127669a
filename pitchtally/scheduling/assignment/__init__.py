"""Assigns jobs to shards: on acceptance, or later by the cluster leader.

Decisions are based on the newest statuses of all shards. This package has no state of its own and
changes job records only through `RangeWriter`. It follows Celaya and Marchal: the accepting
controller keeps a job at up to B times the lowest stretch; otherwise the cluster leader splits
the job in proportion to the summed availability matrices.

Invariant: the cluster leader assigns only tasks that no shard has, under its fencing token.
"""
