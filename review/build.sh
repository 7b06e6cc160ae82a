#!/bin/sh
# Builds the stand-ins of the scripts. They are Python of the standard library alone and
# need no build but a check that they compile; the programs are built by the deploy file.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'PY'
import pathlib
import sys

for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
sys.exit(0)
PY
