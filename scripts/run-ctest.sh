#!/usr/bin/env bash
# Runs the tests of a build directory. Prints and skips the tests listed in KNOWN-RED.txt (lines `test: NAME`), and
# prints the findings of the users' bench (lines `bench: COMMAND`).
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
options=(--output-on-failure -j 6 --no-tests=error)
if [ -s KNOWN-RED.txt ]; then
    echo "Known red, see KNOWN-RED.txt (tests are left out):"
    sed -nE 's/^(test|bench): /  /p' KNOWN-RED.txt
    names=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|')
    [ -z "$names" ] || options+=(-E "^($names)\$")
fi
ctest --test-dir "$build" "${options[@]}"
