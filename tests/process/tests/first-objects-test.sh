#!/usr/bin/env bash
# Runs the blocks of docs/FIRST-OBJECTS.md in order, as they stand. Usage: first-objects-test.sh SOURCE_DIR BUILD_DIR
set -uo pipefail
script=$(mktemp)
trap 'rm -f "$script"; kill $(jobs -p) 2>/dev/null' EXIT
{
    echo 'set -euo pipefail'
    sed -n '/^```bash$/,/^```$/p' "$1/docs/FIRST-OBJECTS.md" | grep -v '^```'
} > "$script"
CAROBPATH_BUILD=$2 timeout --kill-after=5 60 bash "$script"
