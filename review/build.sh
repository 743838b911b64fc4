#!/usr/bin/env bash
# Builds the driver of the review's scripts with its stand-ins, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
libraries=()
for name in platform node dispatch transport coordination protocol state base; do
    libraries+=("target/lib$name.a")
done
pids=()
objects=()
for source in review/tools/*.cpp tests/soak/StoreStandIn.cpp tests/support/ProcessRunner.cpp; do
    object="target/review/$(basename "$source" .cpp).o"
    objects+=("$object")
    g++ -std=c++20 -O1 -Wall -Wextra -DTOML_EXCEPTIONS=0 -Isrc -Itests -I. -c "$source" -o "$object" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
g++ "${objects[@]}" "${libraries[@]}" -llog4cxx -lmsgpuck -lxxhash -levent -o target/review/case
