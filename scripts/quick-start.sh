#!/usr/bin/env bash
# Installs the packages, builds, runs the Muscat site on 127.0.0.1, shows a request, a batch job and a standing watch,
# and stops the site. With a directory of built programs it skips installing and building:
# quick-start.sh [BIN_DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -eq 0 ]; then
    bash scripts/install-packages.sh
    cmake --preset release >/dev/null
    cmake --build --preset release
fi
source scripts/site.sh
choose_site muscat
bin=${1:-build/release}
logs=$(mktemp -d)
trap stop_site EXIT

step() { printf '\n== %s\n' "$*"; }

# Repeats a command every 0.5 s until it succeeds, up to 40 times.
retry_until_success() {
    for _ in $(seq 40); do
        "$@" && return 0
        sleep 0.5
    done
    echo "failed 40 times: $*; logs are in $logs" >&2
    return 1
}

# Sends one request; fails unless the response is successful and carries the test id.
lookup_once() {
    curl -sf -H "traceparent: 00-$trace-00f067aa0ba902b7-01" -H 'X-Test-Id: quick-start' \
        "http://${entries[0]}/call/$lookup/sample/4711" | tee "$logs/lookup.json" | grep -q quick-start
}

# Succeeds if the watch has an assigned task.
watch_runs() { "$bin/hemlocklead" job show "$watch_job" | grep -q '"assigned":1'; }

# Submits a job and sets `job`. Retries, since right after the start no entry owns the job's shard yet; the idempotency
# key prevents a retry from submitting the job twice.
submit_job() {
    local key=$1
    shift
    submit_once() { job=$("$bin/hemlocklead" job submit --key "$key" "$@" 2>"$logs/submit.log"); }
    retry_until_success submit_once "$@"
}

step "Start: log, 11 workers, 11 service instances (stand-ins), 2 entries, 11 agents"
start_site
echo "entries: $HEMLOCKLEAD_ENTRY"

step "Publish the catalogue"
publish_catalogue

step "Requests: three lookups, the spans of the last one's trace"
for _ in 1 2 3; do
    trace=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
    retry_until_success lookup_once
    cat "$logs/lookup.json"
done
sleep 0.3
grep -h "$trace" "$logs"/entry-*.log "$logs"/agent-*.log

step "A batch job of 20 tasks"
submit_job "batch-$$" --name "$batch" --tasks 20 --payload '{"runMs": 300, "result": "compiled"}'
batch_job=$job
"$bin/hemlocklead" job wait "$batch_job" --wait-ms 60000
"$bin/hemlocklead" job result "$batch_job" | head -3

step "A standing watch"
submit_job "watch-$$" --name "$watch" --payload '{}'
watch_job=$job
retry_until_success watch_runs
"$bin/hemlocklead" job show "$watch_job"

step "Data centre sohar out, in force everywhere, and in again"
"$bin/hemlocklead" datacentre out sohar --by quick-start
"$bin/hemlocklead" datacentre in sohar --by quick-start

step "Status"
"$bin/hemlocklead" status

step "Stop the processes that this script started"
stop_site
trap - EXIT
echo "done; logs are in $logs"
