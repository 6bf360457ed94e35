#!/usr/bin/env bash
# Lays the entry host's program and its pinned libraries into target/, and nothing of the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if ! cmp -s deploy/requirements.txt target/requirements.installed; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --target "$deps" \
        -r deploy/requirements.txt
    cp deploy/requirements.txt target/requirements.installed
fi
for source in packages/lentilpath-core/src/lentilpath_core packages/lentilpath-http/src/lentilpath_http \
    packages/lentilpathd/src/lentilpathd platform/lentilpath_platform; do
    rm -rf "$deps/$(basename "$source")"
    cp -r "$source" "$deps/"
done
python3 -m compileall -q "$deps/lentilpath_core" "$deps/lentilpath_http" "$deps/lentilpathd" \
    "$deps/lentilpath_platform"
