#!/usr/bin/env bash
# Lints one file and prints only findings. Usage: lint-one.sh BUILD_DIR FILE
# A file that passed is not linted again while nothing that decides the verdict has changed: the file and all that it
# includes, its compile command, the configuration and the version of clang-tidy, and this script. Only passes are
# remembered, in LINT_CACHE_DIR, by default beside the cache of ccache. LINT_VERBOSE=1 tells which files were linted.
set -uo pipefail

build=$1
file=$2
cache=${LINT_CACHE_DIR:-$(dirname "$(ccache --get-config cache_dir)")/carobpath-lint}

report() {
    [ -z "${LINT_VERBOSE:-}" ] || echo "$1 $file"
}

# The entry of compile_commands.json for the file, with the quotes of JSON taken off.
compile_command() {
    grep -B1 -F "\"file\": \"$(realpath "$file")\"" "$build/compile_commands.json" | sed -n 's/^ *"command": "\(.*\)",$/\1/p' | sed 's/\\"/"/g'
}

# Prints nothing where the dependencies cannot be told, so that the file is linted.
key() {
    local command dependencies
    command=$(compile_command)
    [ -n "$command" ] || return
    dependencies=$(eval "$(sed 's/ -o [^ ]*//' <<<"$command") -M" 2>/dev/null) || return
    {
        clang-tidy --version
        clang-tidy --dump-config -p "$build" "$file"
        cat "$0"
        echo "$command"
        sed 's/^[^:]*://; s/\\$//' <<<"$dependencies" | tr -s ' \n' '\n\n' | sed '/^$/d' | xargs sha256sum
    } 2>&1 | sha256sum | cut -d' ' -f1
}

key=$(key)
if [ -n "$key" ] && [ -e "$cache/$key" ]; then
    report remembered
    exit 0
fi
report linted
if ! out=$(clang-tidy --quiet -p "$build" "$file" 2>&1); then
    printf '%s\n' "$out"
    exit 1
fi
if [ -n "$key" ]; then
    mkdir -p "$cache"
    touch "$cache/$key"
fi
