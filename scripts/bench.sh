#!/usr/bin/env bash
# Runs the benchmarks, writes build/bench.json and fails if a counter violates its bound in bench/bounds.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release >/dev/null
cmake --build --preset release --target benchmarks
build/release/benchmarks --bounds bench/bounds.toml --benchmark_min_time=0.3 \
    --benchmark_out=build/bench.json --benchmark_out_format=json
