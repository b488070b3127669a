"""Quotas of teams: guarantees, limits, and each shard's share of a limit.

State: each team's settings, the durable shares of its limit that shards hold (in the state
store, seen through `QuotaShares`), and the amounts whose transfer is in flight. Only
`QuotaTransfer` changes shares, in one compare-and-swap for both shards.

Invariant: the shares of a team's limit never add up to more than the limit, and a shard starts
no task that its own share doesn't cover. Guarantees only decide order and preemption.
"""
