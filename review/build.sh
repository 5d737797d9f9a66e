#!/bin/sh
# Checks that the stand-ins of the scripts can be loaded with what the deploy file's build made.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review/standin PYTHONDONTWRITEBYTECODE=1 python3 -c "import fleet"
