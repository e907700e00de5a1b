#!/usr/bin/env bash
# Runs clang-tidy over the sources, in parallel. Usage: lint.sh [BUILD_DIR] [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(tools/sources.sh | grep '\.cpp$')
fi
printf '%s\n' "${files[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -n 1 tools/lint-one.sh "$build"
