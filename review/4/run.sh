#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:review/standin PYTHONDONTWRITEBYTECODE=1 exec python3 review/4/run.py review/4
