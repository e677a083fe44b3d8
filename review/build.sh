#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review cases from nothing into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf build-review
cmake -S review -B build-review -DCMAKE_BUILD_TYPE=Release
cmake --build build-review -j "$(nproc)"
