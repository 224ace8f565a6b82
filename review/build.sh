#!/usr/bin/env bash
# Builds the stand-ins of all cases of this folder into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -I. -pthread "$source" -o "target/review/case-$number"
done
