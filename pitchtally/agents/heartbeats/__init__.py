"""Agent heartbeats: fencing, processing of the reported status, and responses.

Only the leader of a machine's shard processes its heartbeats. This package and `commands`
prevent a task from running twice: start commands are sent only in responses; a task counts as
placed from its start command until a newer heartbeat, a new agent epoch, the expiry of the lease
or the cloud shows that it is gone; and after a failover no task starts that a suspect machine may
hold.
"""
