#!/usr/bin/env bash
# Builds the stand-ins of the scripts: compiles them, so that errors of syntax
# show here. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
exec python3 -m compileall -q tests [0-9]*/tests
