#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md and keeps them beside it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bench/results
cargo run --release --quiet -p tansyknot-standins --example capacity | tee bench/results/capacity.jsonl
