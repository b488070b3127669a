"""Makes trio schedule tasks that are ready at the same time in an order derived from a seed.

Trio shuffles such tasks on purpose, so that programs don't depend on their order. A failing
simulation must be reproducible from its seed, but trio has no public interface for that: neither
`trio.run`, nor an instrument, nor `trio.testing.MockClock` determines the order. Its run loop
sorts the batch before the shuffle if a private flag is set, and shuffles with a private random
generator. Only this module sets the two. If a release of trio renames them,
`monkeypatch.setattr` raises an error, so that runs never become random unnoticed.
"""

from __future__ import annotations

import random

import pytest
from trio._core import _run


def schedule_deterministically(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    """Make all runs of trio until the end of the test schedule tasks by this seed."""
    monkeypatch.setattr(_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    monkeypatch.setattr(_run, "_r", random.Random(seed))
