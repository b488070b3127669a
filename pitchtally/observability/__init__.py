"""Observability: logfmt output, the decision log, counters, and loop supervision.

This package reports the components' decisions and the failures of their loops; it takes no
decisions itself. Only `DecisionLog` changes the decision counts, and only `LoopSupervisor` the
failure counts. Invariants: no exception is raised into a reporting component, and at level `info`
the number of lines doesn't grow with the number of requests.
"""
