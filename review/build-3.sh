#!/bin/sh
# Builds the stand-ins of the third review. They use no crates and need no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/rig-3/Cargo.toml --target-dir target/review-3
