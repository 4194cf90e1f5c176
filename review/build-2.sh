#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/review-2/. The build of the
# deploy file has to be there.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++17 -O2 -Wall -Wextra -pthread -o target/review-2/standin2 \
  review/standin2_cases.cc review/standin2_world.cc review/standin2_system.cc
