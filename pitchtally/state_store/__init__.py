"""The consensus-backed key-value store: its client, the replica that a watch keeps, rate limits."""
