"""Cluster membership: live controllers, shard leadership, and messages between controllers.

State: this node's session lease and node record (`session`), the nodes and shard leaders recorded
in the state store (`nodes`, `leadership`), the last reply of each peer (`peers`), and the time at
which the process last resumed after a pause (`pause_detector`). Each is changed only by its own
module: on changes of the replica, on messages from peers, or in the module's own loop.
`membership` composes them.

Invariant: at most one node holds a shard's newest fencing token. A node uses its token only until
it receives a newer one, and its conclusions from replies, or from missing ones, are limited by the
replies' age (`freshness`): a deposed leader stops before its successor's actions can conflict.
"""
