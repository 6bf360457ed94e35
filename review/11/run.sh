#!/usr/bin/env bash
# Exits with 1 if a task ran twice at the same time, 0 if none did, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps/lentilpath_platform ] || { echo "run deploy/build.sh first" >&2; exit 2; }
timeout -k 5 110 python3 review/11/scenario.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
