"""The machines of the shards that this controller leads: heartbeats, commands, lease expiry."""
