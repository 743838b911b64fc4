#!/usr/bin/env bash
# Shows how the long-running jobs in the logs of a site were served, by the size of the jobs. Reads the lines
# `service_level` of all entries from the files given, or from standard input.
#
# usage: service-by-size.sh [--jobs] [FILE...]
#   --jobs  also one line a job, largest first
#
# Shares are of the time of all tasks; `attained` counts an interfered task four times, as its users do, and is at least
# zero in each line (about 5 s) by itself: a job that loses all of one line keeps what it got in the others.
set -euo pipefail
jobs=0
if [ "${1:-}" = --jobs ]; then
    jobs=1
    shift
fi
cat "$@" | awk -v show_jobs=$jobs '
function value(name,    i) {
    for (i = 1; i <= NF; ++i)
        if (index($i, name "=") == 1) return substr($i, length(name) + 2)
    return ""
}
BEGIN { states = split("waiting starting over_target interfered served", state) }
/event=service_level/ {
    job = value("job")
    size[job] = value("cpu_milli") + 0
    tasks[job] = value("tasks") + 0
    image = value("antagonist")
    if (image != "" && image != "\"\"") {
        slowed[job, image] += value("interfered_ms")
        if (slowed[job, image] >= slowed[job, antagonist[job]]) antagonist[job] = image
    }
    lineTotal = 0
    for (s = 1; s <= states; ++s) {
        part_of_line[s] = value(state[s] "_ms")
        sum[job, s] += part_of_line[s]
        lineTotal += part_of_line[s]
    }
    left = lineTotal - part_of_line[1] - part_of_line[2] - part_of_line[3] - 4 * part_of_line[4]
    if (left > 0) attained[job] += left
}
function total(job,    s, t) {
    for (s = 1; s <= states; ++s) t += sum[job, s]
    return t
}
function print_row(label, from, to,    i, s, t, all, part, kept) {
    for (i = from; i <= to; ++i) {
        t = total(order[i])
        all += t
        for (s = 1; s <= states; ++s) part[s] += sum[order[i], s]
        kept += attained[order[i]]
    }
    if (all == 0) return
    printf "%-14s %4d", label, to - from + 1
    for (s = 1; s <= states; ++s) printf " %11.3f", part[s] / all
    printf " %8.3f\n", kept / all
}
END {
    count = 0
    for (job in size) if (total(job) > 0) order[++count] = job
    for (i = 2; i <= count; ++i)
        for (k = i; k > 1 && size[order[k]] > size[order[k - 1]]; --k) {
            swap = order[k]; order[k] = order[k - 1]; order[k - 1] = swap
        }
    printf "%-14s %4s", "jobs", "n"
    for (s = 1; s <= states; ++s) printf " %11s", state[s]
    printf " %8s\n", "attained"
    tenth = int((count + 9) / 10)
    fifth = int(count * 3 / 10 + 0.5)
    if (fifth < tenth) fifth = tenth
    print_row("largest tenth", 1, tenth)
    if (fifth > tenth) print_row("next fifth", tenth + 1, fifth)
    print_row("all", 1, count)
    if (!show_jobs) exit
    printf "\n%-18s %5s %10s %9s", "job", "tasks", "cpu_milli", "time_s"
    for (s = 1; s <= states; ++s) printf " %11s", state[s]
    printf " %8s antagonist\n", "attained"
    for (i = 1; i <= count; ++i) {
        job = order[i]
        t = total(job)
        printf "%-18s %5d %10d %9.1f", job, tasks[job], size[job], t / 1000 / tasks[job]
        for (s = 1; s <= states; ++s) printf " %11.3f", sum[job, s] / t
        printf " %8.3f %s\n", attained[job] / t, antagonist[job]
    }
}'
