"""The platform's settings and the operators' policy, both validated on loading.

Responsibility: load two files into immutable records, or raise a one-line `SettingsError` that
names file, field and reason. The package owns no state: `Settings` and `Policy` are created once,
before a controller starts, and never change afterwards. Invariant: a returned record holds only
values that the program can run with, including a freshness bound that lets cancelled tasks end
within `cancel_s` (`timing`).
"""
