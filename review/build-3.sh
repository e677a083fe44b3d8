#!/usr/bin/env bash
# Builds the driver and the stand-ins of the cases 11 to 15 into build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/third -B build-review-3 -DCMAKE_BUILD_TYPE=Release
cmake --build build-review-3 -j "$(nproc)"
