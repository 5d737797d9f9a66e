#!/bin/sh
# Copies the stand-ins of review/6 to review/10 into target/review-2 and checks that they load.
# Runs after the build of the deploy file, and needs no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp review/standins-2/*.py target/review-2/
PYTHONPATH=target/deps:target/review-2 python3 -c "import standins"
