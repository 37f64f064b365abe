#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/out/. Needs only the packages
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B review/out -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build review/out --target review_cases -j "${REVIEW_JOBS:-4}"
