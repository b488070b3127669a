"""Tests of the platform's entry point: imported modules and the report of a bad configuration."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

PROGRAM = """
import sys
from pitchtally.cli.entry import entry
try:
    entry(["--config", sys.argv[1]])
except SystemExit as end:
    print(end.code, "click" in sys.modules, "pitchtally.controller" in sys.modules)
"""


def test_platform_invocation_loads_no_click_and_reports_the_error(tmp_path: Path) -> None:
    """Guards against a slow start by importing click, and a changed exit code or message."""
    absent = tmp_path / "absent.toml"
    command = [sys.executable, "-c", PROGRAM, str(absent)]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    assert result.stdout.split() == ["2", "False", "False"]
    assert result.stderr == f"pitchtally: {absent}: cannot be read: No such file or directory\n"
