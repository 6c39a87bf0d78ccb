#!/bin/sh
# The stand-ins are Python 3.11 scripts of the standard library; there is nothing to compile. Checks that they load.
set -e
cd "$(dirname "$0")"
for file in standins/*.py */run.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$file"
done
