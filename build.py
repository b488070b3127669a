"""Compile every module under target/pycache, where run.py looks for bytecode.

Controllers can write nothing at run time and have a fraction of a core, so
compiling on each start would cost them a second or more of answering nobody.
"""

import compileall
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent


def main() -> int:
    """Compile the sources and the built dependencies."""
    sys.pycache_prefix = str(ROOT / "target" / "pycache")
    good = True
    for folder in ("pitchtally", "target/deps"):
        good &= bool(compileall.compile_dir(ROOT / folder, quiet=2, workers=1))
    # Optional parts of libraries may hold files for other Python versions;
    # only our own sources have to compile.
    own = compileall.compile_dir(ROOT / "pitchtally", quiet=1)
    return 0 if own else 1


if __name__ == "__main__":
    sys.exit(main())
