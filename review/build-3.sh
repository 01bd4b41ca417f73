#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start beside the program: the
# stand-ins of platform_soak and review/lab_3, which need only the packages of
# the deploy file's build. Nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -c 'import platform_soak.deployment, review.lab_3.lab'
