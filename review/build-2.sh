#!/bin/sh
# Builds the stand-ins of the second review into target/review-2/. Run it after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target/review-2 --target review-2
