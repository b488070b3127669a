"""Stand-ins for what surrounds a controller: state store, cloud, agents, and the network.

Duty: play the protocol's other parties for tests and for trying the program out, and bring
about faults on request. `Network` owns the faults between hosts, `StateStore` the keys,
`World` the machines, `Rules` the record of what tasks did. Invariant: what a stand-in does
follows from its seed and the clock, so that a failing run comes again; a violation of the
protocol by a controller ends up in `Rules.violations`.
"""
