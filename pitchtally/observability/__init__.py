"""What operators see: logfmt lines, the decision log, counters, supervised loops.

Duty: report what the components decide and how often their loops fail, without taking part in
any decision. `DecisionLog` owns its counts and `LoopSupervisor` its failure counts; each alone
changes them. Invariant: nothing here raises into the component that reports, and at `info` the
number of lines doesn't grow with the number of requests.
"""
