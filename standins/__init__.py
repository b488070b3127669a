"""Stand-ins for the services that controllers use: state store, cloud, agents and network.

They implement the other side of each protocol for tests and local trials, and inject faults on
request. `Network` holds the faults between hosts, `StateStore` the keys, `World` the machines
and `Rules` the record of task starts and ends. The behaviour of a stand-in depends only on its
seed and the clock, so that a failing run can be reproduced. Protocol violations by a controller
are recorded in `Rules.violations`.
"""
