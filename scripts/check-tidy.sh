#!/usr/bin/env bash
# Runs clang-tidy over the sources, several at once. A file is checked again only when it, a header of the project that
# it includes or clang-tidy has changed; the record of checked files is shared by all clones of a user, as the compiler's
# cache is. The build in build/release must be up to date, since it tells which headers a file includes.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/release
cache=${XDG_CACHE_HOME:-$HOME/.cache}/hemlocklead-tidy
mkdir -p "$cache"
version=$( (clang-tidy --version; cat .clang-tidy) | sha256sum)
includes=$(mktemp)
trap 'rm -f "$includes"' EXIT
# Lines "SOURCE HEADER", relative to this folder.
ninja -C "$build" -t deps | sed -E "s#^( *)(\.\./\.\./|$PWD/)#\1#" | awk '
    /^CMakeFiles\// { sub(/^CMakeFiles\/[^\/]*\//, ""); sub(/\.o:.*/, ""); source = $0 }
    /^ +(src|tests|bench|platform)\// { print source, $1 }' | sort -u >"$includes"
check() {
    headers=$(awk -v source="$1" '$1 == source { print $2 }' "$includes")
    # A file that the build does not know depends on all headers.
    [ -n "$headers" ] || headers=$(git ls-files -co --exclude-standard '*.h' | sort)
    key=$( (echo "$version"; cat $headers "$1") | sha256sum | cut -d' ' -f1)
    [ -e "$cache/$key" ] && return 0
    clang-tidy -p "$build" --quiet --extra-arg=-Wno-gnu-statement-expression "$1" 2> >(grep -vE 'warnings? generated|^Suppressed|^Use -header' >&2) && touch "$cache/$key"
}
export -f check
export version includes cache build
git ls-files -co --exclude-standard 'src/*.cpp' 'tests/*.cpp' 'bench/*.cpp' 'platform/*.cpp' | xargs -P "${TIDY_JOBS:-8}" -I{} bash -c 'check {}'
