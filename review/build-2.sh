#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/, beside the entry process of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -pthread -o target/review-2/cell review/standins-2/cell.cpp review/standins-2/scenarios.cpp
