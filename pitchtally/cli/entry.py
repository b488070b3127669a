"""The entry point of `run.py`; the platform's invocation doesn't load click."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from .serving import serve


def entry(arguments: Sequence[str]) -> None:
    """Run the command line with these arguments, and exit.

    The platform invokes the program with `--config FILE`, which starts a controller; all other
    arguments are handled by the click commands. Loading click would delay each start
    of a controller.
    """
    if len(arguments) == 2 and arguments[0] == "--config":
        sys.exit(serve(arguments[1]))
    from .commands import main

    main(args=list(arguments), prog_name="pitchtally")
