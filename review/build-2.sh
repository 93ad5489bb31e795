#!/bin/sh
# Builds the stand-ins of the second review into a target directory of its own, without a network.
set -eu
cd "$(dirname "$0")/standins-2"
cargo build --offline --locked --release --target-dir ../../target/review-2
