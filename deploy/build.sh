#!/bin/sh
# Puts the libraries and the compiled package below target/.
set -eu
deps=target/deps
if [ ! "$deps" -nt requirements.txt ]; then
    python3 -m pip install -q -U --target "$deps" -r requirements.txt
    touch "$deps"
fi
rm -rf target/app
mkdir -p target/app
cp -R rosemaryroad deploy/rosemaryroadd.py target/app/
find target/app -name __pycache__ -type d -prune -exec rm -rf {} +
python3 -m compileall -q target/app
