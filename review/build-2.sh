#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into target/review-2/.
# Needs the C++ compiler and library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/common-2/*_case.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$name"
done
