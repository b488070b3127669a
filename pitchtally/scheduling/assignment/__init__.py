"""Which shard gets a job: on acceptance, and by the cluster leader for what nobody kept.

Decisions rest on the newest statuses of all shards; nothing is kept here but through
`RangeWriter`. Follows Celaya and Marchal: a job is kept at up to B times the lowest stretch,
else split in proportion to the summed availability matrices.
"""
