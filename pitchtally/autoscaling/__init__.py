"""Autoscaling: launches and terminates machines at the cloud provider.

Responsibility: the cluster leader launches machines for pending tasks that the running ones
can't finish in time, drains idle machines, and terminates drained, failed and unreachable ones.
Every node keeps a copy of the machine catalog and tracks for how long machines are unreachable.

State: the machine catalog, the provider's list of machines, the booting machines, and the sets
of machines to drain, to terminate, and terminated. Only the cluster leader changes them, apart
from the catalog, which follows the state store, and the heartbeat timeouts, which every node
tracks so that a new cluster leader continues with them.

Invariant: launches and terminations are requested only if leadership was verified within the
last session TTL, since the cloud API accepts no fencing token.
"""
