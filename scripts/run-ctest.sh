#!/usr/bin/env bash
# Runs the tests of a build folder. Tests listed in KNOWN-RED.txt (lines `test: NAME`) are printed and left out.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
options=(--output-on-failure -j 6 --no-tests=error)
if [ -s KNOWN-RED.txt ]; then
    echo "Left out, see KNOWN-RED.txt:"
    sed -n 's/^test: /  /p' KNOWN-RED.txt
    names=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|')
    [ -z "$names" ] || options+=(-E "^($names)\$")
fi
ctest --test-dir "$build" "${options[@]}"
