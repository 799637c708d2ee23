#!/bin/sh
# Builds the stand-ins and the driver of the script cases. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
