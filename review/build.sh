#!/usr/bin/env bash
# Builds every stand-in that the scripts of the review start, into target/review. Run it after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review -j "${BUILD_JOBS:-$(nproc)}"
