#!/usr/bin/env bash
# Fails if a source file is not formatted. With --fix it formats the files.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = --fix ] && mode=(-i)
git ls-files -co --exclude-standard 'src/*.h' 'src/*.cpp' 'tests/*.h' 'tests/*.cpp' 'bench/*.h' 'bench/*.cpp' 'platform/*.h' 'platform/*.cpp' | xargs clang-format "${mode[@]}"
