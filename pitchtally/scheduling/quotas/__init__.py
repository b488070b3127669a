"""Quotas of teams: guarantees, limits, and each shard's share of a limit.

State: each team's settings, the durable shares of its limit that shards hold (in the state
store, read through `QuotaShares`), and the amounts whose transfer is in flight. Only
`QuotaTransfer` changes shares, with one compare-and-swap for both shards.

Invariant: the shares of a team's limit never add up to more than the limit, and a shard starts
no task that exceeds its own share. Guarantees only affect priority order and preemption.
"""
