"""Compile every module to bytecode in target/pycache, where run.py makes Python look for it.

Controllers can't write files at run time and have a fraction of a core: without the bytecode,
they would compile on each start and not reply for a second or more.
"""

import compileall
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent
SOURCES = ROOT / "pitchtally"
DEPENDENCIES = ROOT / "target" / "deps"
SILENT, ERRORS_ONLY = 2, 1


def main() -> int:
    """Compile the program and the built dependencies; return the exit code."""
    sys.pycache_prefix = str(ROOT / "target" / "pycache")
    # Libraries may contain optional files for other Python versions, so only a failure in
    # the program's own sources is an error.
    compileall.compile_dir(DEPENDENCIES, quiet=SILENT, workers=1)
    compiled = compileall.compile_dir(SOURCES, quiet=ERRORS_ONLY, workers=1)
    return 0 if compiled else 1


if __name__ == "__main__":
    sys.exit(main())
