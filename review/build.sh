#!/bin/sh
# Builds the stand-ins of the review's scripts, without a network.
set -eu
cd "$(dirname "$0")/standins"
cargo build --offline --release --target-dir ../../target/review
