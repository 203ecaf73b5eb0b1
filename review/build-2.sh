#!/bin/sh
# Builds the programs of the cases 6 to 10, each with its stand-ins (stand-ins.cc), into build/review-2. Run it after the
# build of the deploy file; it needs a C++20 compiler and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/*/stand-ins.cc; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I review -o "build/review-2/$name" "$source"
done
