"""The machines of the shards that this node leads: heartbeats, commands, lease expiry.

Duty: know which tasks are on which machines, tell the scheduler of every change, and command
agents to start and stop tasks.

State: `MachineIndex` with the machines and their placements (changed by `heartbeats`,
`commands.task_control`, `failover` and `lease_expiry`; the scheduler puts new placements), the
`LedShard`s (changed by `failover`), and the stored record of machines (`machine_records`).

Invariant: no task runs twice. It counts as placed from its start command until a newer
heartbeat, a new agent epoch, the expiry of the machine's lease or the cloud shows that it is
gone; it starts only on a machine that the store names, so that a later leader will look there;
and only the holder of the shard's newest fencing token renews leases or commands anything.
"""
