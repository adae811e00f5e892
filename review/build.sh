#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
g++ -std=c++20 -O1 -c -o build/review/json.o review/common/json.cc
for source in review/common/*.cc; do
  name=$(basename "$source" .cc)
  if [ "$name" != json ]; then
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review/$name" \
      "$source" build/review/json.o
  fi
done
