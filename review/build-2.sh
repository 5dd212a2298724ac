#!/usr/bin/env bash
# Builds what the scripts of cases 4 to 8 start besides the controllers: their stand-ins, and the
# project's own ones, which they use. Needs the build of `deploy/service.toml`, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPYCACHEPREFIX="$PWD/target/pycache"
python3 -m compileall -q ryegauge review/common-2 review/[4-8]
