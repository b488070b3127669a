"""The platform's settings and the operators' policy, both checked as they are read.

Duty: turn two files into immutable records, or into a one-line `SettingsError` that names
file, field and reason. The package owns no state: `Settings` and `Policy` are made once,
before a controller starts, and nobody changes them afterwards. Invariant: a record that was
returned holds only values that the program can run with, among them a freshness bound that
keeps the promise on cancellations (`timing`).
"""
