#!/bin/sh
# Compares the module in drawn days of the simulator with recorded ones. The simulator prints a hash of each
# play ("trace"), which covers every action but the text of log lines.
#
#   simulator_plays.sh record|compare LBSIM SITE...
#
# Plays each day of simulator_plays.txt, or of the list below for `record`, with the adapter that
# deploy/balancer.toml names. Run it from the repository's root: each play leaves its entry in journal/.
set -eu
mode=$1
lbsim=$2
shift 2
recorded=$(dirname "$0")/simulator_plays.txt

# Prints "SITE KIND SEED HASH" for one day.
play() {
  hash=$("$lbsim" run "$1" --kind "$2" --seed "$3" --why "compare the module's actions with the recorded ones" |
    sed -n 's/^trace \([0-9a-f]*\) .*/\1/p')
  [ -n "$hash" ] || { echo "no trace of $1 $2 $3" >&2; exit 1; }
  echo "$(basename "$1" .toml) $2 $3 $hash"
}

play_all() {
  for site in "$@"; do
    for kind in quiet trouble overload big; do
      for seed in 1 2; do play "$site" "$kind" "$seed"; done
    done
  done
}

if [ "$mode" = record ]; then
  play_all "$@" >"$recorded"
else
  played=$(mktemp)
  trap 'rm -f "$played"' EXIT
  play_all "$@" >"$played"
  diff "$recorded" "$played" || { echo "simulator plays differ"; exit 1; }
  echo "$(wc -l <"$recorded") of $(wc -l <"$recorded") simulator plays give the recorded actions"
fi
