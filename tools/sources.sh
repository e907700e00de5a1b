#!/usr/bin/env bash
# Prints the project's own C++ files, one a line; generated code is left out. Usage: sources.sh [headers]
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard -- '*.h' '*.cpp' | grep -v '/generated/' | while read -r f; do
    [ -f "$f" ] && echo "$f"
done
