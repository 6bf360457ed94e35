#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use Python's standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins
