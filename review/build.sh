#!/usr/bin/env bash
# Builds the stand-ins and scripts of the cases; no package is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/rig/Cargo.toml --target-dir target/review
