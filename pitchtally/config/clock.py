"""Times on the steady clock of a process, in seconds: what stands for a time that never was."""

from __future__ import annotations

# Before any time that the clock gives: stands for something that has not happened yet.
LONG_AGO = -1e9
