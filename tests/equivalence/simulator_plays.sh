#!/bin/sh
# Checks that the decision module takes the same actions as recorded earlier, in randomly generated days of the
# simulator. For each run the simulator prints a hash ("trace") that covers every action except the text of log
# lines.
#
#   simulator_plays.sh record|compare LBSIM SITE...
#
# Runs the days listed in play_all at each SITE, with the adapter that deploy/balancer.toml names. `record` writes the
# hashes to simulator_plays.txt, and `compare` compares them with that file. The script must be run from the
# repository's root, because each run of the simulator adds an entry to journal/.
set -eu
mode=$1
lbsim=$2
shift 2
recorded=$(dirname "$0")/simulator_plays.txt

# Runs one day and prints "SITE KIND SEED HASH".
play() {
  hash=$("$lbsim" run "$1" --kind "$2" --seed "$3" --why "compare the module's actions with the recorded ones" |
    sed -n 's/^trace \([0-9a-f]*\) .*/\1/p')
  [ -n "$hash" ] || { echo "the simulator printed no trace for site $1, kind $2, seed $3" >&2; exit 1; }
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
