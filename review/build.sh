#!/usr/bin/env bash
# Compiles the stand-ins that the scripts start; run it after the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX="$PWD/target/pycache" python3 -m compileall -q standins review
