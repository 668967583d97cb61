#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
# With TROUBLE=0 the case does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" && exec python3 case.py
