"""Entry point in production: add the built dependencies to the path and run the CLI."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent

# Set before the program is imported: `build.py` wrote its bytecode to this folder.
sys.dont_write_bytecode = True
sys.pycache_prefix = str(ROOT / "target" / "pycache")
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

if __name__ == "__main__":
    from pitchtally.cli.entry import entry

    entry(sys.argv[1:])
