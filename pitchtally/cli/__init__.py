"""The command line: `serve`, `check`, `submit`, `status` and `cancel`.

Responsibility: from arguments, environment and files, start a controller or send one request to
a running one, and return the outcome as exit code. The package owns no state; `config` validates
its input before a controller is built. `entry` is the entry point used by the platform and must
not import click, directly or indirectly; `commands` holds the click group that the console
script runs.
"""
