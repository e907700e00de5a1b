#!/usr/bin/env bash
# Runs clang-tidy over the sources, in parallel. Usage: lint.sh [BUILD_DIR] [FILE...]
# clang-tidy cannot read the precompiled headers of g++, so it gets compile commands without them, in BUILD_DIR/lint.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
cmake -S . -B "$build/lint" -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(tools/sources.sh | grep '\.cpp$')
fi
printf '%s\n' "${files[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -n 1 tools/lint-one.sh "$build/lint"
