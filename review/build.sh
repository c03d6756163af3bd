#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into target/review. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build target/review --target review-case
