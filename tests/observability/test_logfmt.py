"""Each log record is written as exactly one logfmt line."""

from __future__ import annotations

import logging
import sys

from pitchtally.observability.logfmt import LogfmtFormatter


def test_record_is_one_line() -> None:
    record = logging.LogRecord("agents", logging.INFO, "", 0, "lost\nmachine=%s", ("i-1",), None)
    line = LogfmtFormatter().format(record)
    assert line == "level=info component=agents msg='lost machine=i-1'"


def test_traceback_is_on_the_line_of_its_record() -> None:
    try:
        raise ValueError("no lease")
    except ValueError:
        info = sys.exc_info()
    record = logging.LogRecord("agents", logging.ERROR, "", 0, "loop fault", None, info)
    line = LogfmtFormatter().format(record)
    assert line.startswith("level=error component=agents msg='loop fault' trace=")
    assert "ValueError: no lease" in line
    assert "\n" not in line
