"""Makes trio run the tasks that are ready at once in an order that follows from a seed.

Trio shuffles such tasks on purpose, so that programs don't come to rely on an order. A failing
simulation has to come again with the same seed, and trio offers no public way to that: neither
`trio.run`, nor an instrument, nor `trio.testing.MockClock` decides the order. Its run loop
sorts the batch before the shuffle if a private flag is set, and shuffles with a private random
generator; both are set here, and nowhere else. A release of trio that renames them makes
`monkeypatch.setattr` raise, so that no run becomes random unnoticed.
"""

from __future__ import annotations

import random

import pytest
from trio._core import _run


def schedule_deterministically(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    """Let the next runs of trio, until the test ends, schedule tasks by this seed."""
    monkeypatch.setattr(_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    monkeypatch.setattr(_run, "_r", random.Random(seed))
