#!/usr/bin/env bash
# Checks that the deploy file's build is there and that all stand-ins that the
# cases of the second review start can be loaded: those of the project and
# review/lab_2. They are Python, so nothing is left to compile.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
test -d target/deps
python3 -c 'import platform_soak.deployment, review.lab_2.cut_off'
