#!/usr/bin/env bash
# Configures and builds everything, warnings as errors. Usage: build.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cmake -S . -B "$build" -G Ninja -DCAROBPATH_WARNINGS_AS_ERRORS=ON >/dev/null
cmake --build "$build" -j "${BUILD_JOBS:-$(nproc)}"
