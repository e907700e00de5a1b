#!/usr/bin/env bash
# A file that passed lint is linted again once anything that decides the verdict changes, and a failure is never
# remembered. Usage: lint_cache_test.sh SOURCE_DIR
set -euo pipefail
lint=$1/tools/lint-one.sh
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
export LINT_CACHE_DIR=$dir/cache LINT_VERBOSE=1
cd "$dir"

good_name='inline int twice(int n) { return 2 * n; }'
bad_name='inline int Twice_(int n) { return 2 * n; }'

# The file belongs to two targets.
write_command() {
    cat >compile_commands.json <<EOF
[
{
  "directory": "$dir",
  "command": "/usr/bin/c++ -std=c++20 -o $dir/first.o -c $dir/unit.cpp",
  "file": "$dir/unit.cpp"
},
{
  "directory": "$dir",
  "command": "/usr/bin/c++ -std=c++20 $1 -o $dir/second.o -c $dir/unit.cpp",
  "file": "$dir/unit.cpp"
}
]
EOF
}

write_configuration() {
    cat >.clang-tidy <<EOF
Checks: '-*,readability-identifier-naming'
WarningsAsErrors: '*'
HeaderFilterRegex: '.*'
CheckOptions:
  - { key: readability-identifier-naming.FunctionCase, value: $1 }
EOF
}

expect() {
    local wanted=$1 found
    found=$("$lint" . unit.cpp 2>&1 | head -1 | cut -d' ' -f1) || true
    if [ "$found" != "$wanted" ]; then
        echo "$2: expected '$wanted', found '$found'"
        exit 1
    fi
}

expect_failure() {
    if "$lint" . unit.cpp >/dev/null 2>&1; then
        echo "$1: lint passed"
        exit 1
    fi
}

echo "$good_name" >unit.h
printf '#include "unit.h"\nint four() { return twice(2); }\n' >unit.cpp
write_command ""
write_configuration camelBack

expect linted "first time"
expect remembered "nothing changed"

write_command "-DOTHER"
expect linted "other compile command"
expect remembered "nothing changed since the command"

write_configuration lower_case
expect linted "other configuration"
write_configuration camelBack
expect remembered "configuration as before"

echo "$bad_name" >unit.h
printf '#include "unit.h"\nint four() { return Twice_(2); }\n' >unit.cpp
expect_failure "bad name in a header"
expect_failure "bad name in a header, second time"

printf '#include "unit.h"\nint four() { return 4; }\n' >unit.cpp
expect_failure "bad name in a header only"
echo "$good_name // changed" >unit.h
expect linted "changed header"
expect remembered "nothing changed since the header"

if ls ./*.o >/dev/null 2>&1; then
    echo "lint left object files behind"
    exit 1
fi
