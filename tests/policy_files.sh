#!/bin/sh
# Fails unless `policy` in deploy/balancer.toml lists exactly the source files of balancer/: policy_files.sh ROOT
set -eu
cd "$1"
listed=$(sed -n 's/^policy = \[\(.*\)\]$/\1/p' deploy/balancer.toml | tr -d '" ' | tr ',' '\n' | sort)
present=$(find balancer -name '*.cpp' -o -name '*.h' | sort)
[ "$listed" = "$present" ] || {
  echo "policy in deploy/balancer.toml lists:" $listed
  echo "balancer/ has:" $present
  exit 1
}
