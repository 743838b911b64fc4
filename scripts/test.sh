#!/usr/bin/env bash
# Installs, builds and runs all checks and tests. This is what CI runs.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install-packages.sh
bash scripts/check-format.sh
bash scripts/check-layers.sh
cmake --preset release
cmake --build --preset release
bash scripts/check-tidy.sh
ctest --test-dir build/release --output-on-failure -j 6
cmake --preset sanitize
cmake --build --preset sanitize
ctest --test-dir build/sanitize --output-on-failure -j 6
