#!/bin/sh
# Builds the stand-ins that the scripts start. Needs rustc only, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
