#!/bin/bash
# Runs clang-tidy on one source file: lint_file.sh BUILD FILE. lint.sh calls this script and sets LINT_CLEAN, the cache
# folder for files without findings, and LINT_COMMON, a hash of the inputs that all files share: the linter and the
# installed packages.
#
# For a file without findings, an empty cache entry is created whose name is the hash of all inputs of the result. A
# file with findings gets no entry, so the findings are printed at each run until they are fixed.
set -euo pipefail
build=$1 file=$2

# The key covers the file, the headers of this repository that the file includes, the precompiled headers, and the
# file's compile command without the path of this checkout.
headers=$(g++ -std=c++20 -I. -MM -MT "" "$file" | tr -d ':\\\n')
command=$(grep -F -- " -c $PWD/$file\"" "$build/compile_commands.json" | sed "s#$PWD#.#g")
key=$({
  echo "$LINT_COMMON $file $command"
  # shellcheck disable=SC2086  # word splitting is intended
  sha256sum $headers sidecar/precompiled.h tests/precompiled.h
} | sha256sum | cut -d' ' -f1)
if [ -e "$LINT_CLEAN/$key" ]; then
  echo "$file" >>"$build/known.txt"
  exit
fi
clang-tidy -p "$build" --quiet --header-filter="^$PWD/(adapter|balancer|lab|settings|sidecar|tests)/" "$file"
: >"$LINT_CLEAN/$key"
