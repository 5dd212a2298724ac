#!/usr/bin/env bash
# Builds what the cases 9 to 13 start. Their stand-ins are Python modules of this folder and of the
# project, and their libraries are those of the deploy file's build, so nothing more is needed than
# to see that they compile.
set -eu
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=target/pycache python3 -m compileall -q ryegauge review/common-3
