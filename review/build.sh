#!/bin/sh
# Builds the stand-ins of the scripts. They use Python's standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q stand.py ?/case.py
