#!/usr/bin/env bash
# Build the stand-ins of the third review: they need nothing but Python.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q rig_3.py engine_3.py client_3.py 11 12 13 14 15
