#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")" && TROUBLE="${TROUBLE:-1}" exec python3 -P case.py
