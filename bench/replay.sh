#!/usr/bin/env bash
# Replays traces of seeds that no decision was tuned on, and plots the frontier.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --quiet -p tansyknot-policy --examples
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
bin=target/release/examples
mkdir -p bench/results
: >bench/results/replay.jsonl
for seed in 11 12 13 14; do
  $bin/trace --seed $seed >"$work/$seed.csv"
  for weight in cold idle; do
    $bin/replay --trace "$work/$seed.csv" --weight $weight --policy never_unload \
      --policy lru_on_demand --policy fixed_ttl_60s --policy fixed_ttl_600s --policy tansyknot |
      sed "s/^{/{\"seed\":$seed,\"weight\":\"$weight\",/" >>bench/results/replay.jsonl
  done
done
$bin/plot bench/results/replay.jsonl docs/frontier.svg
cat bench/results/replay.jsonl
