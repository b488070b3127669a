"""Run the test suite without the tests listed in KNOWN-RED.txt, which are expected to fail.

Each line of the file holds a test, the cause of its failure and its issue, separated by ` | `.
CI prints the listed tests, runs each alone and deselects it in the main run. It is an error if
a listed test passes or can't be run, if an entry lacks a field or appears twice, or if there
are more than `MAX_ENTRIES`.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LIST = ROOT / "KNOWN-RED.txt"
MAX_ENTRIES = 3
SEPARATOR = " | "

# Exit codes of pytest.
ALL_PASSED = 0
SOME_FAILED = 1

RunPytest = Callable[[Sequence[str]], int]


class ListError(Exception):
    """An invalid list; the text is the reason, in one line."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that fails for a known cause."""

    test: str  # pytest node id, such as tests/test_api.py::test_name
    cause: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """Return the entries of the list; raises ListError."""
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(SEPARATOR)]
        if len(fields) != 3 or not all(fields):
            raise ListError(f"line {number}: not 'test | cause | issue'")
        if "::" not in fields[0]:
            raise ListError(f"line {number}: {fields[0]} names no single test")
        entries.append(KnownRed(*fields))
    if len(entries) > MAX_ENTRIES:
        raise ListError(f"{len(entries)} entries, {MAX_ENTRIES} at most")
    if len({entry.test for entry in entries}) < len(entries):
        raise ListError("a test is listed twice")
    return entries


def check_still_red(entry: KnownRed, run_pytest: RunPytest) -> None:
    """Run a listed test alone; raises ListError unless it fails."""
    code = run_pytest(["-q", "-x", "-p", "no:cacheprovider", entry.test])
    if code == ALL_PASSED:
        raise ListError(f"{entry.test} passes: take it off the list")
    if code != SOME_FAILED:
        raise ListError(f"{entry.test} can't be run (pytest ends with {code})")


def run(text: str, arguments: Sequence[str], run_pytest: RunPytest) -> int:
    """Run the listed tests, then all others; return pytest's exit code for the others."""
    entries = parse(text)
    for entry in entries:
        print(f"known red: {entry.test}: {entry.cause} ({entry.issue})", flush=True)
        check_still_red(entry, run_pytest)
    return run_pytest([*arguments, *(f"--deselect={entry.test}" for entry in entries)])


def _pytest(arguments: Sequence[str]) -> int:
    return subprocess.run([sys.executable, "-m", "pytest", *arguments], cwd=ROOT).returncode


def main(arguments: Sequence[str]) -> int:
    """Run pytest with these arguments and return its exit code; 1 if the list is invalid."""
    text = LIST.read_text() if LIST.exists() else ""
    try:
        return run(text, arguments, _pytest)
    except ListError as error:
        print(f"KNOWN-RED.txt: {error}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
