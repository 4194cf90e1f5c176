#!/bin/sh
# Builds the stand-ins of the third review into target/review3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review3
for it in review/1[1-5]/case.cc; do
  [ -e "$it" ] || continue
  n=$(basename "$(dirname "$it")")
  g++ -std=c++20 -O1 -pthread -o "target/review3/case-$n" "$it" review/standin3.cc review/flows3.cc
done
