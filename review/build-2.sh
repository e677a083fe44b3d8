#!/usr/bin/env bash
# Builds the stand-ins of the second review, without the tests of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review-2 -DCMAKE_BUILD_TYPE=Release -DEGRETRACK_TESTS=OFF \
  -DCMAKE_PROJECT_egretrack_INCLUDE="$PWD/review/second/project.cmake"
cmake --build build-review-2 --target review_second -j "$(nproc)"
