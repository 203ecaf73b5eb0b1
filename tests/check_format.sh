#!/bin/sh
# Fails if a source file is not formatted according to the repository's .clang-format.
set -eu
cd "$(dirname "$0")/.."
git ls-files -z -- '*.h' '*.cpp' | xargs -0 clang-format --dry-run -Werror
