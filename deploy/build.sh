#!/bin/sh
# Installs the dependencies into target/ and copies the project's own pure Python packages there.
set -eu
mkdir -p target
if [ ! target/requirements.txt -nt deploy/requirements.txt ]; then
    python3 -m pip install --quiet --upgrade --target target/deps -r deploy/requirements.txt
    cp deploy/requirements.txt target/requirements.txt
fi
rm -rf target/deps/carawayroute target/deps/carawayroute_schema target/deps/carawayrouted
cp -r packages/schema/carawayroute_schema packages/library/carawayroute \
    packages/daemon/carawayrouted target/deps/
