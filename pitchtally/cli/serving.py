"""Runs one controller process, from its configuration files to its exit code."""

from __future__ import annotations

import gc
import sys
from collections.abc import Awaitable, Callable

from ..config.settings import SettingsError
from ..observability.logfmt import configure_logging
from .configuration import load_configuration

EXIT_INTERRUPTED = 0
EXIT_STOPPED = 1
EXIT_INVALID_CONFIGURATION = 2

# Allocations before a collection of the youngest generation, then for each following generation
# the number of collections of the one before it.
GC_THRESHOLDS = (5000, 20, 50)


def serve(settings_path: str, policy_path: str | None = None) -> int:
    """Run a controller until the process is stopped; return the exit code."""
    configure_logging()
    try:
        configuration = load_configuration(settings_path, policy_path)
    except SettingsError as error:
        print(f"pitchtally: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    # Deferred import: an invalid configuration is reported without loading the controller.
    from ..controller import Controller

    _tune_garbage_collector()

    async def main() -> None:
        await Controller(configuration.settings, configuration.policy).run()

    return _run(main)


def _tune_garbage_collector() -> None:
    """Exempt startup objects, which live as long as the process, from garbage collection."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def _run(main: Callable[[], Awaitable[None]]) -> int:
    import trio

    try:
        trio.run(main)
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    return EXIT_STOPPED
