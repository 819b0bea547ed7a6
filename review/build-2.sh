#!/bin/sh
# Checks that the stand-ins of the second review can run: the project's emulator and review/deployment_2.py. Both are Python and
# need nothing but its standard library.
set -e
cd "$(dirname "$0")/.."
test -x target/peridotwalk
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=. python3 -c 'import emulator.store, emulator.web; import sys; sys.path.insert(0, "review"); import deployment_2'
