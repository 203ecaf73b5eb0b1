#!/bin/bash
# Lints every source file by .clang-tidy; any finding fails. The compile commands are of a build folder of its
# own, where only the precompiled headers are built, by the compiler that clang-tidy is part of.
#
# lint-pending.txt lists the files that are not clean yet: they are printed and left out. The list only shrinks.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build-test/lint
pending=tests/lint-pending.txt
cmake --preset lint >/dev/null
for target in sidecar/CMakeFiles/lb_sidecar.dir tests/CMakeFiles/sidecar_peers.dir; do
  make -C "$build" -s -f "$target/build.make" "$target/cmake_pch.hxx.pch" &
done
wait
comm -23 <(git ls-files -- '*.cpp' | sort) <(sort "$pending") >"$build/files.txt"
echo "lint: $(wc -l <"$build/files.txt") files; not clean yet and left out, $(wc -l <"$pending"):"
sed 's/^/  /' "$pending"
xargs -a "$build/files.txt" -n 1 -P "$(nproc)" \
  clang-tidy -p "$build" --quiet --header-filter="^$PWD/(adapter|balancer|lab|settings|sidecar|tests)/"
