#!/usr/bin/env bash
# Runs clang-tidy over the sources, several at once. A file is checked again only when it or a header has changed.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/release
cache=build/tidy-cache
mkdir -p "$cache"
headers=$(git ls-files -co --exclude-standard '*.h' .clang-tidy | sort | xargs cat | sha256sum | cut -d' ' -f1)
check() {
    key=$( (echo "$headers"; cat "$1") | sha256sum | cut -d' ' -f1)
    [ -e "$cache/$key" ] && return 0
    clang-tidy -p "$build" --quiet --extra-arg=-Wno-gnu-statement-expression "$1" 2> >(grep -vE 'warnings? generated|^Suppressed|^Use -header' >&2) && touch "$cache/$key"
}
export -f check
export headers cache build
git ls-files -co --exclude-standard 'src/*.cpp' 'tests/*.cpp' 'bench/*.cpp' 'platform/*.cpp' | xargs -P "${TIDY_JOBS:-8}" -I{} bash -c 'check {}'
