#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Run it after the build of deploy/system.toml, whose
# libraries in target/ it links.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -g1 -Wall -Wextra -Isrc -Itests -Ireview/tools-3 \
    review/tools-3/*.cpp tests/soak/StoreStandIn.cpp tests/support/ProcessRunner.cpp \
    -Ltarget -ltransport -lcoordination -lprotocol -lstate -lbase -llog4cxx -levent -lmsgpuck -lxxhash \
    -o target/review-3/play-case
