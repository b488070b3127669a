"""Access to the consensus-backed key-value store: client, local replica, and rate limits.

State: the keys in the replica with their versions (`replica`), and the permits left under the
store's rate limits (`rate_limits`, owned by `client`). Only replies of the store, this node's own
commits and commits reported by peers change the replica, and only through its methods; other
components subscribe to key prefixes. All keys are built and parsed in `keys`.

Invariant: a key's version in the replica only increases until the key is removed, and the replica
holds everything that the store had committed by `Replica.verified_at`. Every write has a
precondition on versions that were read, so a write executed late changes nothing.
"""
