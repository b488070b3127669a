"""A sentinel for times on the steady clock of a process, in seconds."""

from __future__ import annotations

# Time of an event that has not occurred yet; earlier than any time that the clock returns.
LONG_AGO = -1e9
