#!/usr/bin/env bash
# Builds every stand-in that the cases start: they are Python, on the packages that the build of
# the deploy file has installed under target/deps, so this compiles them and the project's own.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/service.toml first" >&2; exit 1; }
export PYTHONPATH=review:.:target/deps PYTHONPYCACHEPREFIX=target/pycache
python3 -m compileall -q review ryegauge/emulator ryegauge/transport ryegauge/bookkeeping
python3 -c "import common.case, ryegauge.emulator.state"
