#!/usr/bin/env bash
# Fails if a layer includes a header of a higher layer. `layers` is ordered from low to high. entry and agent are above
# them and include neither each other, command nor platform.
set -euo pipefail
cd "$(dirname "$0")/.."
layers=(base state protocol coordination overload learning dispatch transport node)
status=0
for i in "${!layers[@]}"; do
    higher=("${layers[@]:i+1}" entry agent command platform)
    pattern="#include \"($(IFS='|'; echo "${higher[*]}"))/"
    if grep -rnE "$pattern" "src/${layers[i]}"; then
        status=1
    fi
done
for program in entry agent; do
    others=(entry agent command platform)
    pattern="#include \"($(printf '%s\n' "${others[@]}" | grep -v "^$program\$" | paste -sd'|'))/"
    if grep -rnE "$pattern" "src/$program"; then
        status=1
    fi
done
[ $status -eq 0 ] || echo "check-layers: the lines above include a header of a higher layer" >&2
exit $status
