#!/bin/sh
# Builds the stand-ins of the cases into review/build/. Needs the compiler of the deploy file's packages, no more.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in */case.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/case-$(dirname "$source")" "$source"
done
