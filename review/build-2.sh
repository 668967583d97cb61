#!/usr/bin/env bash
# Build the stand-ins of the second review: they need nothing but Python, so that their
# files are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in rig.py [6-9]/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
