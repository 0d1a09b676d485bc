#!/bin/sh
# Checks that the stand-ins of cases 11 to 15 can start. They are Python and use h11
# from target/deps, so there is nothing to build; the deploy file's build comes first.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 python3 -c "import stand3"
