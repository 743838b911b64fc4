#!/usr/bin/env bash
# Runs clang-tidy on the sources in parallel. A file is checked again only if it, a project header that it includes,
# clang-tidy or its configuration has changed. All clones of a user share the cache of checked files, like the compiler
# cache. The build in build/release must be up to date, since its dependencies tell which headers a file includes.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/release
cache=${XDG_CACHE_HOME:-$HOME/.cache}/hemlocklead-tidy
mkdir -p "$cache"
version=$( (clang-tidy --version; cat .clang-tidy) | sha256sum)
includes=$(mktemp)
trap 'rm -f "$includes"' EXIT
# Lines "SOURCE HEADER", relative to the repository root.
ninja -C "$build" -t deps | sed -E "s#^( *)(\.\./\.\./|$PWD/)#\1#" | awk '
    /^CMakeFiles\// { sub(/^CMakeFiles\/[^\/]*\//, ""); sub(/\.o:.*/, ""); source = $0 }
    /^ +(src|tests|bench|platform)\// { print source, $1 }' | sort -u >"$includes"
check() {
    headers=$(awk -v source="$1" '$1 == source { print $2 }' "$includes")
    # A file that is not part of the build is treated as depending on all headers.
    [ -n "$headers" ] || headers=$(git ls-files -co --exclude-standard '*.h' | sort)
    key=$( (echo "$version"; cat $headers "$1") | sha256sum | cut -d' ' -f1)
    [ -e "$cache/$key" ] && return 0
    clang-tidy -p "$build" --quiet --extra-arg=-Wno-gnu-statement-expression "$1" 2> >(grep -vE 'warnings? generated|^Suppressed|^Use -header' >&2) && touch "$cache/$key"
}
export -f check
export version includes cache build
git ls-files -co --exclude-standard 'src/*.cpp' 'tests/*.cpp' 'bench/*.cpp' 'platform/*.cpp' | xargs -P "${TIDY_JOBS:-8}" -I{} bash -c 'check {}'
