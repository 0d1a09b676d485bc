#!/bin/sh
# Installs the gateway and its pinned dependencies under target/deps. Dependencies
# are reinstalled only when the pins change; package sources are copied on every run.
set -eu
DEPS=$PWD/target/deps
STAMP=target/deps.stamp
PACKAGES="packages/kernel packages/policies packages/documents packages/transport packages/gateway platform"

pins=$(cat constraints.txt deploy/requirements.txt $(for p in $PACKAGES; do echo "$p/pyproject.toml"; done) | cksum)
if [ ! -f "$STAMP" ] || [ "$(cat "$STAMP")" != "$pins" ]; then
    rm -rf "$DEPS" target/src "$STAMP"
    mkdir -p "$DEPS" target/src
    python3 -m pip install -q --target "$DEPS" -c constraints.txt -r deploy/requirements.txt setuptools
    # Build from a copy, because a build writes into its source tree.
    for p in $PACKAGES; do
        cp -r "$p" "target/src/$(basename "$p")"
        PYTHONPATH="$DEPS" python3 -m pip install -q --no-deps --no-build-isolation \
            --target "$DEPS" --upgrade "target/src/$(basename "$p")"
    done
    echo "$pins" >"$STAMP"
fi
for p in $PACKAGES; do
    cp -r "$p"/src/* "$DEPS"/
done
rm -rf "$DEPS"/*.egg-info
# The processes cannot write next to their modules, so without this step every start
# would recompile them. The copies above invalidate bytecode compiled earlier.
python3 -m compileall -q -f --invalidation-mode unchecked-hash "$DEPS"/sycamorenotch_*
