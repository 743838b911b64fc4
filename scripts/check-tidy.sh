#!/usr/bin/env bash
# Runs clang-tidy over the sources, several at once. A file is checked again only when it, a header or clang-tidy has
# changed; the record of checked files is shared by all clones of a user, as the compiler's cache is.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/release
cache=${XDG_CACHE_HOME:-$HOME/.cache}/hemlocklead-tidy
mkdir -p "$cache"
headers=$( (clang-tidy --version; git ls-files -co --exclude-standard '*.h' .clang-tidy | sort | xargs cat) | sha256sum | cut -d' ' -f1)
check() {
    key=$( (echo "$headers"; cat "$1") | sha256sum | cut -d' ' -f1)
    [ -e "$cache/$key" ] && return 0
    clang-tidy -p "$build" --quiet --extra-arg=-Wno-gnu-statement-expression "$1" 2> >(grep -vE 'warnings? generated|^Suppressed|^Use -header' >&2) && touch "$cache/$key"
}
export -f check
export headers cache build
git ls-files -co --exclude-standard 'src/*.cpp' 'tests/*.cpp' 'bench/*.cpp' 'platform/*.cpp' | xargs -P "${TIDY_JOBS:-8}" -I{} bash -c 'check {}'
