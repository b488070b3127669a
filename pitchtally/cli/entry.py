"""The command line: serve, check, submit, status, cancel."""

from __future__ import annotations

import gc
import logging
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

from ..config.settings import SettingsError, load

if TYPE_CHECKING:
    from ..config.policy import Policy
    from ..config.settings import Settings

ROOT = Path(__file__).resolve().parent.parent.parent
POLICY = ROOT / "deploy" / "policy.conf"


class Logfmt(logging.Formatter):
    """One log record as one line of logfmt."""

    def format(self, record: logging.LogRecord) -> str:
        """The record as a line: level, component, message, and a trace if there is one."""
        text = record.getMessage().replace("\n", " ")
        line = f"level={record.levelname.lower()} component={record.name} msg={text!r}"
        if record.exc_info:
            trace = self.formatException(record.exc_info).replace("\n", " | ")
            line += f" trace={trace!r}"
        return line


def set_up_logging() -> None:
    """Log to standard error at the level that `LOG_LEVEL` names."""
    levels = {
        "error": logging.ERROR,
        "info": logging.INFO,
        "debug": logging.DEBUG,
        "warning": logging.WARNING,
    }
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(Logfmt())
    level = levels.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    # Fields that nothing here prints cost a system call or two for each line.
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False


def read(config: str, policy: str | None) -> tuple[Settings, Policy]:
    """Settings and policy as `serve` uses them."""
    from ..config import policy as policies

    settings = load(config)
    path = policy or os.environ.get("PITCHTALLY_POLICY") or (POLICY if POLICY.exists() else None)
    return settings, policies.load(path, settings)


def serve(config: str, policy: str | None = None) -> int:
    """Run a controller until it is ended; the exit code."""
    set_up_logging()
    try:
        settings, figures = read(config, policy)
    except SettingsError as error:
        print(f"pitchtally: {error}", file=sys.stderr)
        return 2
    import trio

    from ..controller import Controller

    # Start-up objects live for ever: full collections need not walk them.
    gc.collect()
    gc.freeze()
    gc.set_threshold(5000, 20, 50)

    async def main() -> None:
        await Controller(settings, figures).run()

    try:
        trio.run(main)
    except KeyboardInterrupt:
        return 0
    return 1


def entry(argv: Sequence[str]) -> None:
    """The command line, with a short way for the platform's own call."""
    # The platform appends the settings file: no need to load the rest of the CLI.
    if len(argv) == 2 and argv[0] == "--config":
        sys.exit(serve(argv[1]))
    from .commands import main

    main(args=list(argv), prog_name="pitchtally")
