#!/usr/bin/env bash
# Runs measure-capacity.sh for the points from which docs/CAPACITY.md derives its slopes. Prints one JSON line per
# point.
set -euo pipefail
cd "$(dirname "$0")/.."
point() { bash scripts/measure-capacity.sh --seconds "${SECONDS_PER_POINT:-15}" "$@"; }
for agents in 10 40 80; do point --agents $agents; done
for tasks in 100 400 1200; do point --agents 20 --tasks $tasks; done
for rate in 10 40 100; do point --agents 20 --rate $rate; done
for entries in 2 4 6; do point --agents 20 --entries $entries; done
for catalogue in 100 400 1000; do point --agents 10 --catalogue $catalogue; done
