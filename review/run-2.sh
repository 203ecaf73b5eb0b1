#!/bin/sh
# Runs one of the cases 6 to 10: run-2.sh FOLDER TROUBLE, called by the case's run.sh. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE 0 leaves the disruption out.
cd "$1" || exit 2
folder=$PWD
root=$(cd ../.. && pwd)
program=$root/build/review-2/$(basename "$folder")
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
if [ ! -x "$program" ]; then
  echo "the case could not run: review/build-2.sh has not built it" | tee "$folder/record.txt" >&2
  exit 2
fi
timeout -k 2 115 "$program" "$root" "$temporary" "$folder/record.txt" "$2" &
child=$!
# The sidecars end with the program that started them.
trap 'kill "$child" 2>/dev/null; wait "$child"; exit 2' HUP INT TERM
wait "$child"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
