#!/bin/sh
# Builds the stand-ins of the third review. They are Python and need the standard library
# only; the real program runs from what the deploy file builds.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "target/deps is missing: run the build of the deploy file" >&2; exit 1; }
python3 -m compileall -q review/standins-3 review/1[1-5]
