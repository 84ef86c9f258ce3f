#!/bin/sh
# Writes to record.txt in this folder what was sent, answered and run.
# Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py "$PWD/record.txt"
