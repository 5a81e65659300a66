#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. They
# import only libraries that the build of the deploy file puts into
# target/deps, so nothing is installed.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp review/standins2/*.py target/review-2/
python3 -m compileall -q target/review-2
