#!/bin/sh
# Builds every stand-in that the scripts in this folder start, into
# target/review/. Needs only the compiler that the build of the deploy file
# needs as well.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review/standin review/standin.cc
