#!/usr/bin/env bash
# Runs a reference site on 127.0.0.1 until it is interrupted: run-example.sh muscat|lagos [BIN_DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/site.sh
choose_site "${1:-}"
bin=${2:-build/release}
logs=$(mktemp -d)
trap stop_site EXIT
trap 'exit 0' INT TERM
start_site
publish_catalogue
echo "$1 runs with the entries $HEMLOCKLEAD_ENTRY; logs are in $logs; press Ctrl-C to stop it"
echo "try: HEMLOCKLEAD_ENTRY=$HEMLOCKLEAD_ENTRY $bin/hemlocklead status"
while true; do
    sleep 1
done
