#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 in build/review, after the build of the deploy file. They use the libraries of
# that build, and the store and the proxy of the soak.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -DTOML_EXCEPTIONS=0 -Isrc -Itests -Ireview/standins)
for source in tests/soak/StoreStandIn tests/soak/FaultProxy tests/support/ProcessRunner; do
    g++ "${flags[@]}" -c "$source.cpp" -o "$out/$(basename "$source").o" &
done
for source in review/standins/*.cpp; do
    g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
wait
for source in review/standins/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ "$out/$name.o" "$out"/{StoreStandIn,FaultProxy,ProcessRunner}.o -Ltarget -ltransport -lcoordination -lprotocol \
        -lstate -lbase -levent -llog4cxx -lxxhash -lmsgpuck -o "$out/$name"
done
