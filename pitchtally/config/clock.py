"""A sentinel for times on the steady clock of a process, in seconds."""

from __future__ import annotations

# Time of an event that has not occurred yet, in seconds; it precedes each time of the clock.
LONG_AGO_S = -1e9
