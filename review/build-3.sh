#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B target/review-3 -DCMAKE_BUILD_TYPE=Release > target/review-3.configure.log 2>&1 || { cat target/review-3.configure.log; exit 1; }
cmake --build target/review-3 --target review-cell -j"${JOBS:-8}"
