#!/bin/sh
# Builds the stand-ins of the review's scripts. They need the standard library only.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cargo build --release --locked --offline --manifest-path "$root/review/standins/Cargo.toml" --target-dir "$root/target/review"
