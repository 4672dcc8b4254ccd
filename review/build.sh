#!/bin/sh
# Compiles the stand-ins; they use the libraries in target/deps, which the deploy file's build makes.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: run the build of deploy/system.toml" >&2; exit 1; }
exec env PYTHONPATH=target/deps:. python3 -S -m compileall -q review
