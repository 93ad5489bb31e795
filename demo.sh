#!/usr/bin/env bash
# Builds everything, runs three daemons before two engines and a plain service on loopback, makes
# a cold streamed request, a warm one and a plain call, and stops all that it started.
set -euo pipefail
cd "$(dirname "$0")"

command -v curl >/dev/null || { echo "curl is needed" >&2; exit 1; }
cargo build --release --quiet -p tansyknotd -p tansyknot-cli
cargo build --release --quiet -p tansyknot-standins --examples

bin=target/release
standins=$bin/examples
work=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

start() {
  "$@" >>"$work/log" 2>&1 &
  pids+=($!)
}

fail() {
  echo "demo: $1" >&2
  tail -n 40 "$work/log" >&2
  exit 1
}

ms() { date +%s%3N; }

wait_for() {
  for _ in $(seq 100); do
    curl -sf -o /dev/null "$1" && return 0
    sleep 0.05
  done
  fail "$1 does not answer"
}

table=127.0.0.1:17001 hosts=127.0.0.1:17002 weights=127.0.0.1:17003
start $standins/table --listen $table
start $standins/hosts --listen $hosts
start $standins/weight_store --listen $weights --load-ms 1500
start $standins/engine --listen 127.0.0.1:17201 --weights $weights
start $standins/engine --listen 127.0.0.1:17202 --weights $weights
start $standins/plain --listen 127.0.0.1:17301
wait_for http://$hosts/hosts
curl -sf -o /dev/null http://$hosts/hosts -d '[
 {"name":"engine-1","address":"127.0.0.1:17201","availability_zone":"dakar-a","state":"live",
  "kind":"engine","memory_bytes":80000000000,"fencing":"checked","labels":{"pool":"models"}},
 {"name":"engine-2","address":"127.0.0.1:17202","availability_zone":"dakar-b","state":"live",
  "kind":"engine","memory_bytes":80000000000,"fencing":"checked","labels":{"pool":"models"}},
 {"name":"registry-1","address":"127.0.0.1:17301","availability_zone":"dakar-a","state":"live",
  "kind":"plain","labels":{"pool":"registry"}}]'

for i in 0 1 2; do
  zone=$(echo abc | cut -c $((i + 1)))
  sed -e "s/dakar-a-1/dakar-$zone-1/; s/dakar-a$/dakar-$zone/" \
      -e "s/171\(0[0-9]\)/171$i\1/; s/171${i}0\([0-9]\)/171$i\1/" \
      examples/settings/daemon.yaml >"$work/daemon-$i.yaml"
  start $bin/tansyknotd --settings "$work/daemon-$i.yaml"
done
for i in 0 1 2; do
  for _ in $(seq 100); do
    curl -s -o /dev/null http://127.0.0.1:171${i}0/healthz && break
    sleep 0.05
  done
done

echo "== apply"
$bin/tansyknot --table $table apply -f examples/settings/objects.yaml --author demo

ask() {
  curl -sSN -D "$work/head" -H 'Authorization: Bearer demo-key' \
    -H 'content-type: application/json' "$@"
}
body='{"model":"permit-assistant","stream":true,"max_tokens":8,
       "messages":[{"role":"user","content":"Does load 7 match permit 12?"}]}'

stream() {
  local began first="" line
  began=$(ms)
  while IFS= read -r line; do
    [ -z "$line" ] && continue
    [ -z "$first" ] && first=$(ms)
    echo "  $(($(ms) - began)) ms  $(echo "$line" | grep -o '"content":"[^"]*"\|\[DONE\]')"
  done < <(ask "http://127.0.0.1:$2/v1/chat/completions" -d "$body")
  grep -q '200 OK' "$work/head" || fail "the $1 request was refused"
  [ -n "$first" ] || fail "the $1 request had no answer"
  echo "  first token of the $1 request after $((first - began)) ms"
}

echo "== a cold request, streamed"
stream cold 17100
request=$(tr -d '\r' <"$work/head" | sed -n 's/^x-request-id: //p')
echo "== a warm request through another daemon, streamed"
stream warm 17110

echo "== a plain call that runs at most once, made twice with one key"
for port in 17100 17120; do
  ask -H 'Idempotency-Key: k1' "http://127.0.0.1:$port/services/registry/permits/12" \
    -d '{"load":7}' || fail "the plain call failed"
  echo
done
runs=$(curl -sf http://127.0.0.1:17301/runs)
[ "$runs" = '{"{\"load\":7}":1}' ] || fail "the plain call ran otherwise than once: $runs"

echo "== explain"
$bin/tansyknot --table $table explain "$request"
echo "== status"
$bin/tansyknot --table $table status

echo "== stop"
for pid in "${pids[@]:6}"; do
  kill "$pid"
  wait "$pid" || fail "a daemon did not drain"
done
echo "done: every step passed"
