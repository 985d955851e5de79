#!/usr/bin/env bash
# Compiles the stand-ins, and checks that what they need was built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/kit review/*/scenario.py
PYTHONPATH=review:target/deps python3 -c "from kit import cluster"
