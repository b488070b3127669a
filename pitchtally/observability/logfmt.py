"""Logging set-up: every record is one line of logfmt on standard error."""

from __future__ import annotations

import logging
import os
import sys

LEVEL_VARIABLE = "LOG_LEVEL"
LEVELS = {
    "error": logging.ERROR,
    "warning": logging.WARNING,
    "info": logging.INFO,
    "debug": logging.DEBUG,
}


class LogfmtFormatter(logging.Formatter):
    """Formats a log record as one line of logfmt."""

    def format(self, record: logging.LogRecord) -> str:
        """Return level, component, message and, if there is one, the traceback, as one line."""
        text = record.getMessage().replace("\n", " ")
        line = f"level={record.levelname.lower()} component={record.name} msg={text!r}"
        if record.exc_info:
            trace = self.formatException(record.exc_info).replace("\n", " | ")
            line += f" trace={trace!r}"
        return line


def configure_logging() -> None:
    """Log to standard error at the level that `LOG_LEVEL` names, `info` by default."""
    level = LEVELS.get(os.environ.get(LEVEL_VARIABLE, "info").lower(), logging.INFO)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(LogfmtFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    # No line shows these fields, and collecting them costs system calls for each record.
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
