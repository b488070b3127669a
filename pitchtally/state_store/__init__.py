"""The consensus-backed key-value store: its client, the replica that a watch feeds, rate limits.

State: the replica's keys with their versions (`replica`), the permits left of the store's rate
limits (`rate_limits`, kept by `client`). Only replies of the store, own commits and what peers
have seen committed change the replica, and always by way of it; other components subscribe to
key prefixes. Every key is built and parsed in `keys`.

Invariant: a key's version in the replica only grows until the key is removed, and the replica
holds all that the store had committed by `Replica.verified_at`. Every write is conditional on
versions that were read, so a write executed late changes nothing.
"""
