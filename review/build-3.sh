#!/bin/sh
# Builds the stand-ins of the third review, after the build of deploy/system.toml. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -A warnings -o target/review-3/stand-ins review/stand_ins_3.rs
