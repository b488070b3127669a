"""Tests of the handling of tests that are known to fail (`.ci/known_red.py`)."""

from __future__ import annotations

import importlib.util
import sys
from collections.abc import Sequence
from pathlib import Path
from types import ModuleType

import pytest

PATH = Path(__file__).resolve().parent.parent.parent / ".ci" / "known_red.py"
ENTRY = "tests/test_a.py::test_b | a stale result | issue 1"


def _load() -> ModuleType:
    spec = importlib.util.spec_from_file_location("known_red", PATH)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


known_red = _load()


class FakePytest:
    """Replaces pytest: the first run returns the given exit code, all later runs return 0."""

    def __init__(self, code: int) -> None:
        self.code = code
        self.calls: list[Sequence[str]] = []

    def __call__(self, arguments: Sequence[str]) -> int:
        self.calls.append(arguments)
        return self.code if len(self.calls) == 1 else 0


def test_failing_listed_test_is_printed_and_deselected(
    capsys: pytest.CaptureFixture[str],
) -> None:
    fake = FakePytest(1)
    assert known_red.run(ENTRY, ["-q"], fake) == 0
    assert fake.calls[1] == ["-q", "--deselect=tests/test_a.py::test_b"]
    assert "tests/test_a.py::test_b: a stale result (issue 1)" in capsys.readouterr().out


def test_empty_list_deselects_nothing() -> None:
    fake = FakePytest(1)
    assert known_red.run("# nothing\n\n", ["-q"], fake) == 1
    assert fake.calls == [["-q"]]


@pytest.mark.parametrize(
    ("text", "code", "reason"),
    [
        (ENTRY, 0, "passes"),
        (ENTRY, 4, "can't be run"),  # no such test
        (ENTRY, 5, "can't be run"),  # nothing collected
        ("tests/test_a.py::test_b | a stale result", 1, "line 1"),
        ("tests/test_a.py::test_b |  | issue 1", 1, "line 1"),
        ("tests/test_a.py | a stale result | issue 1", 1, "no single test"),
        (f"{ENTRY}\n{ENTRY}", 1, "twice"),
        ("\n".join(ENTRY.replace("test_b", f"test_{n}") for n in range(4)), 1, "3 at most"),
    ],
)
def test_invalid_list_is_rejected(text: str, code: int, reason: str) -> None:
    with pytest.raises(known_red.ListError, match=reason):
        known_red.run(text, ["-q"], FakePytest(code))
