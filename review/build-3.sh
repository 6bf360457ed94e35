#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They need Python 3.11 and its standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins3
