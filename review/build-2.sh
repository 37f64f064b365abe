#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B build-review-2 -DCMAKE_BUILD_TYPE=Release \
  >/dev/null
cmake --build build-review-2 -j4
