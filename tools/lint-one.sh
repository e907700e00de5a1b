#!/usr/bin/env bash
# Lints one file and prints only findings. Usage: lint-one.sh BUILD_DIR FILE
set -uo pipefail
out=$(clang-tidy --quiet -p "$1" "$2" 2>&1)
status=$?
if [ $status -ne 0 ]; then
    printf '%s\n' "$out"
    exit 1
fi
