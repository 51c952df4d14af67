#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 with the compiler alone, without a network. The cases run the
# programs that the build of the deploy file makes; this script does not build those.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-3 || exit 2
exec rustc --edition 2024 -O review/standins-3/main.rs -o target/review-3/cases
