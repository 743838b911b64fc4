#!/usr/bin/env bash
# Measures the cost of control per entry and per agent, with stand-ins on this machine.
#
# usage: measure-capacity.sh --agents N [--entries N] [--tasks N] [--rate N] [--catalogue N] [--seconds N]
#                            [--bin DIRECTORY] [--base-port N]
#   --tasks      standing tasks that run during the whole measurement, over all agents
#   --rate       task starts per second during the measurement, each task running 200 ms
#   --catalogue  catalogue entries in addition to those of the measurement
#
# Prints one JSON line: processor use in percent of a core, resident memory in MiB and control traffic in bytes/s (sent
# plus received) per entry and per agent, and the load on the log.
set -euo pipefail
cd "$(dirname "$0")/.."
agents=0 entries=1 tasks=0 rate=0 catalogue=0 seconds=20 bin=build/release base=21000
while [ $# -gt 0 ]; do
    case $1 in
    --agents) agents=$2 ;;
    --entries) entries=$2 ;;
    --tasks) tasks=$2 ;;
    --rate) rate=$2 ;;
    --catalogue) catalogue=$2 ;;
    --seconds) seconds=$2 ;;
    --bin) bin=$2 ;;
    --base-port) base=$2 ;;
    *) echo "measure-capacity: unknown option $1" >&2; exit 2 ;;
    esac
    shift 2
done
[ "$agents" -gt 0 ] || { echo "measure-capacity: --agents is required" >&2; exit 2; }

directory=$(mktemp -d)
pids=() entry_pids=() agent_pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$directory"
}
trap cleanup EXIT

log=127.0.0.1:$base
"$bin/standin-log" --listen $log >"$directory/log.out" 2>&1 & pids+=($!)
entry_http() { echo 127.0.0.1:$((base + 10 + $1)); }
entry_peer() { echo 127.0.0.1:$((base + 100 + $1)); }
all_peers=""
for ((e = 0; e < entries; e++)); do all_peers+="\"$(entry_peer $e)\","; done
for ((e = 0; e < entries; e++)); do
    peers=$(echo "$all_peers" | sed "s/\"$(entry_peer $e)\",//")
    cat >"$directory/entry$e.toml" <<TOML
[entry]
name = "entry$e"
data_centre = "dc$((e % 3))"
region = "r1"
http_address = "$(entry_http $e)"
peer_address = "$(entry_peer $e)"
log_address = "$log"
peers = [${peers%,}]
TOML
    "$bin/hemlocklead" entry --config "$directory/entry$e.toml" >"$directory/entry$e.out" 2>&1 & pids+=($!) entry_pids+=($!)
done
for ((a = 0; a < agents; a++)); do
    worker=127.0.0.1:$((base + 1000 + a))
    "$bin/standin-worker" --listen $worker --cpu-milli 64000 --memory-mib 256000 >"$directory/worker$a.out" 2>&1 & pids+=($!)
    cat >"$directory/agent$a.toml" <<TOML
[agent]
host = "host$a"
data_centre = "dc$((a % 3))"
region = "r1"
rack = "rack$((a / 3))"
entries = [${all_peers%,}]
http_address = "127.0.0.1:$((base + 2000 + a))"
worker_address = "$worker"
TOML
    "$bin/hemlocklead" agent --config "$directory/agent$a.toml" >"$directory/agent$a.out" 2>&1 & pids+=($!) agent_pids+=($!)
done

http=$(entry_http 0)
for ((i = 0; i < 100; i++)); do
    curl -sf "http://$http/health" >/dev/null 2>&1 && break
    sleep 0.1
done
put_entry() { # name, class, cpu, team
    local body="{\"base_version\":0,\"entry\":{\"owner\":\"operations\",\"team\":\"$4\",\"workClass\":\"$2\",\"limits\":{\"perTask\":{\"cpuMilli\":$3,\"memoryMib\":64}}}}"
    curl -sf -X PUT "http://$http/catalogue/$1" -d "$body" >/dev/null \
        || { echo "measure-capacity: cannot publish $1" >&2; exit 1; }
}
put_entry watch "standing watch" 100 measured
put_entry batch "can-wait" 100 measured
for ((c = 0; c < catalogue; c++)); do put_entry "extra$c" can-wait 100 "team$((c % 36))"; done
sleep 9
submit() { curl -sf -X POST "http://$http/jobs" -d "$1" >/dev/null || echo "measure-capacity: a job was refused" >&2; }
left=$tasks
while [ $left -gt 0 ]; do
    part=$((left > 1000 ? 1000 : left))
    submit "{\"name\":\"watch\",\"tasks\":$part,\"payload\":\"{}\"}"
    left=$((left - part))
done
# Waits until the tasks run and the ledgers have settled.
sleep $((8 + tasks / 400))

cpu_ticks() { awk '{print $14 + $15}' /proc/$1/stat; }
sum_cpu() { local sum=0; for pid in "$@"; do sum=$((sum + $(cpu_ticks $pid))); done; echo $sum; }
sum_rss() { local sum=0; for pid in "$@"; do sum=$((sum + $(awk '/VmRSS/ {print $2}' /proc/$pid/status))); done; echo $sum; }
control_bytes() { # address...
    local sum=0
    for address in "$@"; do
        sum=$((sum + $(curl -s "http://$address/metrics" | awk '/frame_bytes_.*control/ {s += $2} END {print s + 0}')))
    done
    echo $sum
}
entry_addresses=() agent_addresses=()
for ((e = 0; e < entries; e++)); do entry_addresses+=("$(entry_http $e)"); done
for ((a = 0; a < agents; a++)); do agent_addresses+=("127.0.0.1:$((base + 2000 + a))"); done
log_total() { curl -s "http://$log/stats" | grep -oE "\"$1\": ?[0-9]+" | awk -F: '{s += $2} END {print s + 0}'; }

start=$(date +%s.%N)
e_cpu=$(sum_cpu "${entry_pids[@]}") a_cpu=$(sum_cpu "${agent_pids[@]}")
e_bytes=$(control_bytes "${entry_addresses[@]}") a_bytes=$(control_bytes "${agent_addresses[@]}")
l_appends=$(log_total appends) l_bytes=$(log_total bytes)
if [ "$rate" -gt 0 ]; then
    for ((s = 0; s < seconds; s++)); do
        submit "{\"name\":\"batch\",\"tasks\":$rate,\"payload\":\"{\\\"runMs\\\":200}\"}" &
        sleep 1
    done
else
    sleep "$seconds"
fi
e_cpu=$(($(sum_cpu "${entry_pids[@]}") - e_cpu)) a_cpu=$(($(sum_cpu "${agent_pids[@]}") - a_cpu))
e_bytes=$(($(control_bytes "${entry_addresses[@]}") - e_bytes)) a_bytes=$(($(control_bytes "${agent_addresses[@]}") - a_bytes))
l_appends=$(($(log_total appends) - l_appends)) l_bytes=$(($(log_total bytes) - l_bytes))
e_rss=$(sum_rss "${entry_pids[@]}") a_rss=$(sum_rss "${agent_pids[@]}")
end=$(date +%s.%N)
started=$(for x in "${entry_addresses[@]}"; do curl -s "http://$x/metrics"; done | awk '/starts_sent/ {s += $2} END {print s + 0}')
awk -v a=$agents -v e=$entries -v t=$tasks -v r=$rate -v c=$catalogue -v s=$start -v f=$end -v ecpu=$e_cpu -v acpu=$a_cpu \
    -v er=$e_rss -v ar=$a_rss -v eb=$e_bytes -v ab=$a_bytes -v la=$l_appends -v lb=$l_bytes -v st=$started -v hz="$(getconf CLK_TCK)" 'BEGIN {
    w = f - s
    printf "{\"agents\":%d,\"entries\":%d,\"tasks\":%d,\"rate\":%d,\"catalogue\":%d,\"seconds\":%.1f,", a, e, t, r, c, w
    printf "\"entry\":{\"cpu_percent\":%.3f,\"rss_mib\":%.1f,\"control_bytes_s\":%.0f},", 100 * ecpu / hz / w / e, er / 1024 / e, eb / w / e
    printf "\"agent\":{\"cpu_percent\":%.3f,\"rss_mib\":%.1f,\"control_bytes_s\":%.0f},", 100 * acpu / hz / w / a, ar / 1024 / a, ab / w / a
    printf "\"log\":{\"appends_s\":%.1f,\"bytes_s\":%.0f},\"starts_sent\":%d}\n", la / w, lb / w, st
}'
