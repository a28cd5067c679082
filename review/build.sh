#!/bin/sh
# Builds the stand-in of the platform that the scripts start. It has no dependencies.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
