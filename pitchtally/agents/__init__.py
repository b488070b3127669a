"""The machines of the shards that this node leads: heartbeats, commands, lease expiry.

Responsibility: track which tasks are on which machines, notify the scheduler of every change,
and send agents the commands that start and stop tasks.

State: `MachineIndex` holds the machines and their placements (changed by `heartbeats`,
`commands.task_control`, `shard_recovery` and `lease_expiry`; the scheduler adds new placements),
`LedShard` the state of a led shard (changed by `shard_recovery`), and `machine_records` the
stored record of machines.

Invariant: no task runs twice. A task counts as placed from its start command until a newer
heartbeat, a new agent epoch, the expiry of the machine's lease or the cloud shows that it is
gone. A task starts only on a machine recorded in the state store, so that a later leader contacts
that machine. Only the holder of a shard's newest fencing token renews leases and sends commands.
"""
