#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, without Cargo and without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/src/main.rs
