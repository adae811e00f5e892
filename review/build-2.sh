#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in review/6 to review/10.
# Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/common-2/main.cc \
  -o target/review-2/stage -lboost_json
