#!/bin/sh
# Builds the stand-ins that the cases start: they are Python, and need the
# libraries and the daemon that the build of the deploy file has made.
set -eu
cd "$(dirname "$0")/.."
for built in target/deps/aiohttp target/app/rosemaryroadd.py; do
    if [ ! -e "$built" ]; then
        echo "$built is missing: run sh deploy/build.sh first" >&2
        exit 1
    fi
done
PYTHONPATH=target/deps:review python3 -S - <<'P'
import pathlib
for path in sorted(pathlib.Path('review').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
from standins import deployment
P
echo 'the stand-ins are built'
