#!/usr/bin/env bash
# The stand-ins are Python without a step of building: this checks that they compile, and that the
# build command of the deploy file has placed what the deployed program imports.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build command of deploy/system.toml first" >&2; exit 1; }
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 - review <<'PYTHON'
import pathlib
import sys

import h11
import msgspec
import structlog

for path in sorted(pathlib.Path(sys.argv[1]).rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
    print("compiles:", path)
PYTHON
