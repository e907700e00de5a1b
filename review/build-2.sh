#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-2
