#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts of the third review into
# target/review-3. They need nothing but the C++ library.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for source in review/common-3/*.cc review/1[1-5]/*.cc; do
  [ -f "$source" ] || continue
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview/common-3 -pthread \
    "$source" -o "$out/$name"
done
