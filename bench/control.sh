#!/usr/bin/env bash
# What control costs idle daemons: processor time, memory, table calls, against their number.
source "$(dirname "$0")/lib.sh"

start $standins/table --listen $table
start $standins/hosts --listen $hosts
start $standins/engine --listen 127.0.0.1:18201
wait_for http://$hosts/hosts
curl -sf -o /dev/null http://$hosts/hosts -d "[$(target e0 127.0.0.1:18201 engine models)]"
$bin/tansyknot --table $table apply -f examples/settings/objects.yaml --wait 0 >/dev/null
counts() { curl -sf http://$table/counts | grep -o "\"$1\":[0-9]*" | cut -d: -f2; }

# No pipe behind the loop: a subshell's processes would not be stopped at the end.
daemons=()
for n in 0 1 2 3 4 5 6 7; do
  daemon $n
  daemons+=("$daemon_pid")
  case $n in 0 | 1 | 3 | 7) ;; *) continue ;; esac
  sleep 12
  cpu=0 rss=0
  reads=$(counts reads) commits=$(counts commits)
  for pid in "${daemons[@]}"; do cpu=$((cpu - $(cpu_ms "$pid"))); done
  sleep 10
  for pid in "${daemons[@]}"; do
    cpu=$((cpu + $(cpu_ms "$pid")))
    rss=$((rss + $(rss_kb "$pid")))
  done
  count=${#daemons[@]}
  awk -v n="$count" -v cpu="$cpu" -v rss="$rss" -v r=$(($(counts reads) - reads)) \
    -v c=$(($(counts commits) - commits)) 'BEGIN {
      printf "{\"daemons\":%d,\"cpu_ms_per_s_each\":%.2f,\"rss_kb_each\":%d,", n, cpu / n / 10, rss / n
      printf "\"table_reads_per_s\":%.1f,\"table_commits_per_s\":%.1f}\n", r / 10, c / 10 }'
done >bench/results/control.jsonl
cat bench/results/control.jsonl
