#!/usr/bin/env bash
# Cold starts on the real path: 20 services through three daemons, from the weight store, with
# either weight. The open-loop driver counts from when each request was due.
source "$(dirname "$0")/lib.sh"

start $standins/table --listen $table
start $standins/hosts --listen $hosts
start $standins/weight_store --listen 127.0.0.1:18003 --load-ms 1500
for n in 1 2 3; do
  start $standins/engine --listen 127.0.0.1:1820$n --weights 127.0.0.1:18003 --disk-load-ms 400
done
wait_for http://$hosts/hosts
curl -sf -o /dev/null http://$hosts/hosts -d "[$(target e1 127.0.0.1:18201 engine models),\
$(target e2 127.0.0.1:18202 engine models),$(target e3 127.0.0.1:18203 engine models)]"
for n in 0 1 2; do daemon $n; done

objects() {
  printf 'kind: rule\nname: all\nservices: ""\ntargets: pool=models\nreplicas: {max: 1}\n'
  printf 'retention: {weight: %s, at_least: 2s, at_most: 5s}\n' "$1"
  printf -- '---\nkind: caller\nname: bench\nkey_sha256: %s\n' "$(printf demo-key | sha256sum | cut -d' ' -f1)"
  for s in $(seq 20); do
    printf -- '---\nkind: service\nname: %s-%s\nbackend: {model: {checkpoint: c%s, memory: 10GB}}\n' "$1" "$s" "$s"
  done
}

for weight in idle cold; do
  objects $weight >"$work/objects.yaml"
  $bin/tansyknot --table $table apply -f "$work/objects.yaml" >/dev/null
  # Time for staging, where the weight asks for it.
  sleep 15
  models=$(for s in $(seq 20); do printf '%s-%s,' $weight "$s"; done)
  for n in 0 1 2; do
    $standins/load --to 127.0.0.1:181${n}0 --models "${models%,}" --rate 2 --seconds 20 --tokens 4 \
      --name "$weight-daemon-$n" &
    load_pids[n]=$!
  done
  wait "${load_pids[@]}"
done | tee bench/results/cold.jsonl
