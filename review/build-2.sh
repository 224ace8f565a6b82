#!/usr/bin/env bash
# Builds the programs of the cases 7 to 10 and of a probe, with their stand-ins,
# into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in 7 8 9 10 probe-transfer-coding; do
  g++ -std=c++20 -O1 -Wall -Wextra -I. -pthread -o "target/review-2/case-$name" "review/$name/case.cc"
done
