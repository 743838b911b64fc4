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
bash scripts/run-ctest.sh build/release
cmake --preset sanitize
cmake --build --preset sanitize
bash scripts/run-ctest.sh build/sanitize
