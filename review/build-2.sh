#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 with the compiler alone: they need no dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O --crate-name stand_ins_2 -o target/review-2/stand-ins review/stand_ins_2.rs
