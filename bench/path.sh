#!/usr/bin/env bash
# Speed of the path: first token and gaps through a daemon against the engine alone, same run.
source "$(dirname "$0")/lib.sh"

start $standins/table --listen $table
start $standins/hosts --listen $hosts
start $standins/engine --listen 127.0.0.1:18201 --token-gap-ms 33 --first-token-ms 5
wait_for http://$hosts/hosts
curl -sf -o /dev/null http://$hosts/hosts -d "[$(target e0 127.0.0.1:18201 engine models)]"
daemon 0
for _ in $(seq 100); do curl -s -o /dev/null http://127.0.0.1:18100/healthz && break; sleep 0.05; done
sed 's/in_flight_per_replica: 64/in_flight_per_replica: 2000/' examples/settings/objects.yaml >"$work/objects.yaml"
$bin/tansyknot --table $table apply -f "$work/objects.yaml" >/dev/null
load="$standins/load --models permit-assistant"
$load --to 127.0.0.1:18100 --rate 5 --seconds 1 --tokens 2 >/dev/null

echo "# 65 requests a second, 16 tokens each"
$load --to 127.0.0.1:18201 --rate 65 --seconds 10 --name direct
$load --to 127.0.0.1:18100 --rate 65 --seconds 10 --name daemon

echo "# 1000 streams at once, 30 tokens a second each"
$load --to 127.0.0.1:18201 --rate 500 --seconds 2 --tokens 300 --name direct-1000
before=$(cpu_ms "$daemon_pid"); began=$(date +%s%3N)
$load --to 127.0.0.1:18100 --rate 500 --seconds 2 --tokens 300 --name daemon-1000
took=$(($(date +%s%3N) - began))
echo "{\"name\":\"daemon-1000-cost\",\"cpu_ms\":$(($(cpu_ms "$daemon_pid") - before)),\"wall_ms\":$took,\"peak_kb\":$(peak_kb "$daemon_pid")}"
