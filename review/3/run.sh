#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
PYTHONPATH=target/deps:review exec python3 -S -B review/3/case.py
