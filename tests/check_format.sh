#!/bin/sh
# Fails where a source file is not as clang-format and the repository's .clang-format would have it.
set -eu
cd "$(dirname "$0")/.."
git ls-files -z -- '*.h' '*.cpp' | xargs -0 clang-format --dry-run -Werror
