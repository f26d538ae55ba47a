#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[6-9]/*.cc review/10/*.cc; do
  [ -e "$source" ] || continue
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    "$source" -o "target/review-2/$name"
done
