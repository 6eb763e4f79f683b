#!/bin/sh
# Builds the stand-ins, clients and checks of the cases 6 to 10, without a network. They use the standard library only.
# The programs under test are built by the command of the deploy file.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --offline --manifest-path review/drive-2/Cargo.toml
