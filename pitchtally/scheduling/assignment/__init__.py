"""Which shard gets a job: on acceptance, and by the cluster leader for what nobody kept.

Decisions rest on the newest statuses of all shards; this package has no state of its own and
changes jobs' records through `RangeWriter` alone. Follows Celaya and Marchal: a job is kept at
up to B times the lowest stretch, else split in proportion to the summed availability matrices.

Invariant: the cluster leader assigns only tasks that no shard has, under its fencing token.
"""
