#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the Rust toolchain alone; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings review/standins-2/main.rs -o target/review-2/standins
rustc --edition 2024 -O review/10/main.rs -o target/review-2/case-10
