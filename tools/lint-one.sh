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

# The entries of compile_commands.json for the file, a line each, with the quotes of JSON taken off. A file that belongs to
# two targets has two.
compile_commands() {
    grep -B1 -F "\"file\": \"$(realpath "$file")\"" "$build/compile_commands.json" | sed -n 's/^ *"command": "\(.*\)",$/\1/p' | sed 's/\\"/"/g'
}

# The files that the compiler reads for one of these commands.
dependencies() {
    eval "$(sed 's/ -o [^ ]*//' <<<"$1") -M" 2>/dev/null | sed 's/^[^:]*://; s/\\$//' | tr -s ' \n' '\n\n' | sed '/^$/d'
}

# Prints nothing where the dependencies cannot be told, so that the file is linted.
key() {
    local commands command files=""
    commands=$(compile_commands)
    [ -n "$commands" ] || return
    while read -r command; do
        files+=$(dependencies "$command")$'\n' || return
    done <<<"$commands"
    {
        clang-tidy --version
        clang-tidy --dump-config -p "$build" "$file"
        cat "$0"
        echo "$commands"
        sed '/^$/d' <<<"$files" | xargs sha256sum
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
