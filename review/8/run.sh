#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out (with_trouble in review/lab_2/case.py).
set -euo pipefail
export TROUBLE="${TROUBLE:-1}"
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
exec python3 "$folder/case.py"
