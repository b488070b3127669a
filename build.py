"""Compile every module under target/pycache, where run.py looks for bytecode.

Controllers can write nothing at run time and have a fraction of a core: compiling on each
start would keep them from answering for a second or more.
"""

import compileall
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent
SOURCES = ROOT / "pitchtally"
DEPENDENCIES = ROOT / "target" / "deps"
SILENT, ERRORS_ONLY = 2, 1


def main() -> int:
    """Compile the sources and the built dependencies; return the exit code."""
    sys.pycache_prefix = str(ROOT / "target" / "pycache")
    # Optional parts of libraries may hold files for other Python versions; only our own
    # sources have to compile.
    compileall.compile_dir(DEPENDENCIES, quiet=SILENT, workers=1)
    compiled = compileall.compile_dir(SOURCES, quiet=ERRORS_ONLY, workers=1)
    return 0 if compiled else 1


if __name__ == "__main__":
    sys.exit(main())
