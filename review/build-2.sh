#!/bin/sh
# Checks that the deploy file has been built, and that the stand-ins can be loaded.
# They need the standard library only, so there is nothing to compile or install.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys

sys.path.insert(0, "review/standins-2")
import standins
'
