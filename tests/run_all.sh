#!/bin/sh
# All tests, warnings as errors: once plain, once under the address and undefined-behaviour sanitizers. Those that
# KNOWN-RED.txt lists, `test: cause; issue`, are run and printed, but do not fail the run.
set -eu
cd "$(dirname "$0")/.."
red=KNOWN-RED.txt
pattern='^$'
if [ -f "$red" ]; then
  [ "$(grep -c . "$red")" -le 3 ] || { echo "$red: more than three lines"; exit 1; }
  pattern=$(sed 's/^\([^:]*\):.*/^\1( |$)/' "$red" | paste -sd'|' -)
fi
for sanitize in OFF ON; do
  build=build-test/sanitize-$sanitize
  cmake -B "$build" -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_COMPILE_WARNING_AS_ERROR=ON \
    -DCMAKE_CXX_FLAGS=-Werror -DKESTRELLB_TESTS=ON -DKESTRELLB_SANITIZE=$sanitize
  cmake --build "$build" -j4
  if [ -f "$red" ]; then
    while IFS=: read -r name why; do
      found=$(ctest --test-dir "$build" -N -R "^$name( |\$)" | sed -n 's/^Total Tests: //p')
      [ "$found" = 1 ] || { echo "$red: no such test: $name"; exit 1; }
      verdict=fails
      if ctest --test-dir "$build" -R "^$name( |\$)" >/dev/null 2>&1; then verdict=passes; fi
      echo "KNOWN-RED $name $verdict:$why"
    done <"$red"
  fi
  ctest --test-dir "$build" --output-on-failure -j4 -E "$pattern"
done
