"""Which controllers live, which shards each leads, and what they tell one another.

State: this node's session lease and node record (`session`), the nodes and shard leaders that
the state store shows (`nodes`, `leadership`), the last reply of each peer (`peers`), when the
process was last paused (`pause_detector`). Each is changed by its own module alone, from the
replica's watch, from peers' messages or from its own loop; `membership` composes them.

Invariant: at most one node holds a shard's newest fencing token. A node acts on its token only
while no newer one is known to it, and what it concludes from silence or from replies is bounded
by their age (`freshness`): a deposed leader stops before its successor's acts can conflict.
"""
