#!/usr/bin/env bash
# Builds every stand-in that the scripts of cases 4 to 8 start. It needs no network and no dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
