#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python, the project's emulator too, so there is nothing to
# compile: checks that the interpreter is recent enough and that all sources compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'CHECK'
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed, for tomllib"
for folder in ("review", "emulator", "tests/soak"):
    for file in sorted(pathlib.Path(folder).rglob("*.py")):
        compile(file.read_text(encoding="utf-8"), str(file), "exec")
CHECK
