"""The platform's entry: put the built dependencies on the path and run the command line."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent

# Before the first import of the program: `build.py` compiled it into this folder.
sys.dont_write_bytecode = True
sys.pycache_prefix = str(ROOT / "target" / "pycache")
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

if __name__ == "__main__":
    from pitchtally.cli.entry import entry

    entry(sys.argv[1:])
