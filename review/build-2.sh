#!/usr/bin/env bash
# Builds the stand-ins and scripts of cases 6 to 10; no package is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/rig-2/Cargo.toml --target-dir target/review
