#!/usr/bin/env bash
# From a fresh machine: installs, builds, and passes the tests. Usage: test.sh [BUILD_DIR]
# A test named in KNOWN-RED.txt is run and printed, and its failure is passed over.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
tools/install.sh || exit 1
tools/build.sh "$build" || exit 1

known_red=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null)
log=$(mktemp)
trap 'rm -f "$log"' EXIT
ctest --test-dir "$build" --output-on-failure -j "${TEST_JOBS:-4}" --timeout 300 | tee "$log"

passed=0
failed=0
while read -r verdict name; do
    if [ "$verdict" = Passed ]; then
        passed=$((passed + 1))
    elif grep -qxF "$name" <<<"$known_red"; then
        echo "known red, passed over: $name (see KNOWN-RED.txt)"
    else
        failed=$((failed + 1))
    fi
done < <(sed -nE 's/^ *[0-9]+\/[0-9]+ Test +#[0-9]+: ([^ ]+) \.*[ *]*(Passed|Failed|Timeout|Not Run|Subprocess aborted|Exception|SEGFAULT).*$/\2 \1/p' "$log" | sed -E 's/^Not Run/NotRun/; s/^Subprocess aborted/Aborted/')
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
