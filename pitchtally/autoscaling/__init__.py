"""Autoscaling: machines launched and terminated at the cloud provider.

Duty: the cluster leader launches machines for pending tasks that the present ones can't finish
in time, drains idle machines, and terminates drained, failed and unreachable ones. Every node
keeps the catalog of machine types and measures heartbeat timeouts.

State owned here: the machine catalog, the provider's list of machines, machines that boot, and
the sets of machines to drain, to terminate, and terminated. Only the cluster leader changes
them, apart from the catalog, which follows the state store, and heartbeat timeouts, which every
node measures so that a new leader need not start over.

Invariant: launches and terminations are requested only while leadership was verified within one
session TTL, since the cloud API accepts no fencing token.
"""
