"""The command line: `serve`, `check`, `submit`, `status` and `cancel`.

Duty: turn arguments, environment and files into a running controller, or into one request to
a running one, and their outcome into an exit code. The package owns no state beyond the
process; what it reads is checked by `config` before a controller is built. `entry` is the
platform's way in and must not import click, directly or through another module; `commands`
holds the click group that the console script runs.
"""
