# Functions that start and stop an example site as processes on 127.0.0.1; used by run-example.sh and quick-start.sh.
# Expects `bin` (directory of the programs) and `logs` (directory for their output). choose_site sets `site` (directory
# of the settings).

site_pids=()
platform_pids=()

# Prints the value of a key in a settings file, without quotes: setting FILE KEY
setting() { sed -n "s/^$2 = \"\(.*\)\"$/\1/p" "$1"; }

# Starts a program in the background, with its output in a file, and sets `pid`: start NAME PROGRAM ARGUMENTS...
start() {
    local name=$1
    shift
    "$@" >"$logs/$name.log" 2>&1 &
    pid=$!
}

# Polls a URL until it responds with a success status, every 0.2 s for up to 100 times: wait_ready URL
wait_ready() {
    for _ in $(seq 100); do
        curl -sf -o /dev/null "$1" && return 0
        sleep 0.2
    done
    echo "no successful response from $1; logs are in $logs" >&2
    return 1
}

start_platform() {
    local first=$site/entry-1.toml
    start log "$bin/standin-log" --listen "$(setting "$first" log_address)"
    platform_pids+=("$pid")
    for file in "$site"/agent-*.toml; do
        local host
        host=$(setting "$file" host)
        start "worker-$host" "$bin/standin-worker" --listen "$(setting "$file" worker_address)" \
            --cpu-milli "$worker_cpu_milli" --memory-mib "$worker_memory_mib"
        platform_pids+=("$pid")
    done
}

start_entries() {
    entries=()
    for file in "$site"/entry-*.toml; do
        "$bin/hemlocklead" check-config "$file" >/dev/null
        start "$(setting "$file" name)" "$bin/hemlocklead" entry --config "$file"
        site_pids+=("$pid")
        entries+=("$(setting "$file" http_address)")
    done
}

# Starts one agent and one instance of the service per host. An instance listens on the worker's port + 100.
start_hosts() {
    for file in "$site"/agent-*.toml; do
        "$bin/hemlocklead" check-config "$file" >/dev/null
        local host worker
        host=$(setting "$file" host)
        worker=$(setting "$file" worker_address)
        start "agent-$host" "$bin/hemlocklead" agent --config "$file"
        site_pids+=("$pid")
        start "target-$host" "$bin/standin-target" --listen "${worker%:*}:$((${worker##*:} + 100))" \
            --agent "$(setting "$file" http_address)" --service "$service" --instance "$service-$host"
        platform_pids+=("$pid")
    done
}

start_site() {
    start_platform
    start_entries
    start_hosts
    for entry in "${entries[@]}"; do
        wait_ready "http://$entry/health"
    done
    HEMLOCKLEAD_ENTRY=$(IFS=,; echo "${entries[*]}")
    export HEMLOCKLEAD_ENTRY
}

# Terminates processes by pid: SIGTERM, then SIGKILL for those that still run 15 s later.
terminate_pids() {
    kill "$@" 2>/dev/null || true
    for _ in $(seq 75); do
        kill -0 "$@" 2>/dev/null || break
        local alive=()
        for pid in "$@"; do
            kill -0 "$pid" 2>/dev/null && alive+=("$pid")
        done
        [ ${#alive[@]} -eq 0 ] && return 0
        set -- "${alive[@]}"
        sleep 0.2
    done
    kill -9 "$@" 2>/dev/null || true
}

stop_site() {
    [ ${#site_pids[@]} -eq 0 ] || terminate_pids "${site_pids[@]}"
    [ ${#platform_pids[@]} -eq 0 ] || terminate_pids "${platform_pids[@]}"
    site_pids=()
    platform_pids=()
}

# Publishes the catalogue of the site.
publish_catalogue() {
    for file in "$site"/catalogue/*.json; do
        "$bin/hemlocklead" catalogue set "$(basename "$file" .json)" --file "$file"
    done
}

# Sets the variables of a site: choose_site muscat|lagos
choose_site() {
    site=examples/$1
    case $1 in
    muscat) service=samples lookup=sample-lookup batch=register-compilation watch=removal-watch
        worker_cpu_milli=32000 worker_memory_mib=128000 ;;
    lagos) service=photos lookup=roadside-photo-check batch=compaction-review watch=monitoring-feed
        worker_cpu_milli=64000 worker_memory_mib=256000 ;;
    *)
        echo "unknown site '$1': muscat or lagos" >&2
        return 2
        ;;
    esac
}
