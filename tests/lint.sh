#!/bin/bash
# Runs clang-tidy with the checks of .clang-tidy on every source file; any finding fails. The compile commands come
# from a separate build folder. Only the precompiled headers are built there, with Clang, because clang-tidy cannot
# read those of another compiler.
#
# lint-pending.txt lists the files that do not pass yet; their names are printed and the files are skipped. Files may
# be removed from that list, but not added.
#
# A file without findings is not linted again until one of its inputs changes (tests/lint_file.sh).
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
  cat .clang-tidy tests/lint_file.sh
} | sha256sum)
export LINT_CLEAN LINT_COMMON
mkdir -p "$LINT_CLEAN"
: >"$build/known.txt"
xargs -a "$build/files.txt" -n 1 -P "$(nproc)" bash tests/lint_file.sh "$build"
echo "lint: $(wc -l <"$build/known.txt") of them known to be clean from an earlier run"
