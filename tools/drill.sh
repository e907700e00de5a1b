#!/usr/bin/env bash
# The recovery drill on real processes: builds, runs, and prints a count for each promise.
# Usage: drill.sh [BUILD_DIR] [--duration 40s] [--seed N] [--time-line FILE]
set -euo pipefail
cd "$(dirname "$0")/.."
build=build
if [ $# -gt 0 ] && [[ $1 != --* ]]; then
    build=$1
    shift
fi
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "${BUILD_JOBS:-$(nproc)}" --target carobpath-drill
exec "$build/tests/process/carobpath-drill" "$@"
