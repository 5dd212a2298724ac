#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")"
export PYTHONPYCACHEPREFIX="$PWD/../../target/pycache"
exec timeout -k 1 119 python3 case.py
