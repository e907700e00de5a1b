#!/usr/bin/env bash
# From a fresh machine: installs, builds, and shows the main job with real processes. Usage: demo.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
tools/install.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "${BUILD_JOBS:-$(nproc)}" --target carobpath-demo
exec "$build/tests/process/carobpath-demo"
