"""Logging configuration: each record is one logfmt line on standard error."""

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
    """Formatter that writes each log record as one logfmt line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return level, component, message and traceback, if any, as one line."""
        message = record.getMessage().replace("\n", " ")
        line = f"level={record.levelname.lower()} component={record.name} msg={message!r}"
        if record.exc_info:
            trace = self.formatException(record.exc_info).replace("\n", " | ")
            line += f" trace={trace!r}"
        return line


def configure_logging() -> None:
    """Log to standard error at the level in `LOG_LEVEL`, `info` by default."""
    level = LEVELS.get(os.environ.get(LEVEL_VARIABLE, "info").lower(), logging.INFO)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(LogfmtFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    # The formatter doesn't use these fields, and collecting them takes system calls per record.
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
