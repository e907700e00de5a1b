#!/usr/bin/env bash
# Formats the sources in place; with --check it only says which ones differ.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --check ]; then
    tools/sources.sh | xargs -r -P "$(nproc)" -n 16 clang-format --dry-run -Werror
else
    tools/sources.sh | xargs -r -P "$(nproc)" -n 16 clang-format -i
fi
