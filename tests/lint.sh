#!/bin/bash
# Lints every source file by .clang-tidy; any finding fails. The compile commands are of a build folder of its
# own, where only the precompiled headers are built, by the compiler that clang-tidy is part of.
#
# lint-pending.txt lists the files that are not clean yet: they are printed and left out. The list only shrinks.
#
# A file that was clean is not linted again until something it is made of changes (tests/lint_file.sh).
set -euo pipefail
cd "$(dirname "$0")/.."
build="build-test/lint"
pending=tests/lint-pending.txt
cmake --preset lint >/dev/null
for target in sidecar/CMakeFiles/lb_sidecar.dir tests/CMakeFiles/sidecar_peers.dir; do
  make -C "$build" -s -f "$target/build.make" "$target/cmake_pch.hxx.pch" &
done
wait
comm -23 <(git ls-files -- '*.cpp' | sort) <(sort "$pending") >"$build/files.txt"
echo "lint: $(wc -l <"$build/files.txt") files; not clean yet and left out, $(wc -l <"$pending"):"
sed 's/^/  /' "$pending"

LINT_CLEAN=${XDG_CACHE_HOME:-$HOME/.cache}/lb-lint
LINT_COMMON=$({
  clang-tidy --version
  dpkg-query -W
  cat .clang-tidy CMakePresets.json tests/lint_file.sh
  git ls-files -- '*CMakeLists.txt' '*.cmake' | xargs cat
} | sha256sum)
export LINT_CLEAN LINT_COMMON
mkdir -p "$LINT_CLEAN"
: >"$build/known.txt"
xargs -a "$build/files.txt" -n 1 -P "$(nproc)" bash tests/lint_file.sh "$build"
echo "lint: $(wc -l <"$build/known.txt") of them known to be clean from an earlier run"
