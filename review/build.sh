#!/bin/bash
# Builds the stand-ins of the review's scripts with the Rust compiler; no package is needed.
# The build of the deploy file must have run before. Exits with the compiler's status.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]/main.rs; do
    name="case-$(basename "$(dirname "$source")")"
    rustc --edition 2024 -O -o "target/review/$name" "$source"
done
