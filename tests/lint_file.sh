#!/bin/bash
# Lints one source file: lint_file.sh BUILD FILE. Called by lint.sh, which sets LINT_CLEAN, the folder that
# remembers clean files, and LINT_COMMON, a hash of what all files depend on: the linter, the installed packages,
# and how files are compiled.
#
# A clean file leaves a mark named by the hash of all that its result depends on. Findings leave none, so they
# are printed again until they are mended.
set -euo pipefail
build=$1 file=$2

# The file, every header of this repository that it includes, and the precompiled ones.
headers=$(g++ -std=c++20 -I. -MM -MT "" "$file" | tr -d ':\\\n')
key=$({
  echo "$LINT_COMMON $file"
  # shellcheck disable=SC2086  # a list of files
  sha256sum $headers sidecar/precompiled.h tests/precompiled.h
} | sha256sum | cut -d' ' -f1)
if [ -e "$LINT_CLEAN/$key" ]; then
  echo "$file" >>"$build/known.txt"
  exit
fi
clang-tidy -p "$build" --quiet --header-filter="^$PWD/(adapter|balancer|lab|settings|sidecar|tests)/" "$file"
: >"$LINT_CLEAN/$key"
