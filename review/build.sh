#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the scripts; they use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --quiet --manifest-path review/support/Cargo.toml --target-dir target/review
