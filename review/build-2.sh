#!/bin/sh
# The stand-ins of cases 6 to 10 need nothing built: stand2.py and the cases are Python,
# and use the libraries that deploy/build.sh puts under target/deps. This checks that.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 -c "import h11, twisted.internet"
for file in review/stand2.py review/[0-9]*/case.py review/[0-9]*/crowd.py; do
    [ -f "$file" ] || continue
    PYTHONDONTWRITEBYTECODE=1 python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
