"""Agent heartbeats: fencing, what they tell, and their responses.

Only the leader of a machine's shard takes its heartbeats in. What keeps a task from running
twice is here and in `commands`: starts travel only in responses, a task counts as placed from
its start command until a newer heartbeat, a new agent epoch, the lease's expiry or the cloud
shows that it is gone, and after a failover nothing that a suspect machine may hold is started.
"""
