#!/usr/bin/env bash
# Compiles the stand-ins of the cases 6 to 10. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins2
