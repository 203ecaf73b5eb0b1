#!/bin/sh
# Installs the Debian packages that the build needs and builds with the operators' command.
#
#   setup.sh                 installs `packages` of deploy/balancer.toml, then runs its `build`
#   setup.sh --development   installs `packages` and what the tests, the emulator and the linter need; builds nothing
set -eu
cd "$(dirname "$0")"

# Both values are read from single lines of the deploy file; brackets, quotes and commas are removed.
packages=$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/balancer.toml | tr -d '",')
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$packages" ] && [ -n "$build" ] || {
  echo "setup.sh: packages or build is missing or not on one line in deploy/balancer.toml" >&2
  exit 1
}

case "${1:-}" in
  "") ;;
  --development)
    packages="$packages ccache clang clang-format clang-tidy libgtest-dev libcli11-dev libtomlplusplus-dev"
    build=
    ;;
  *)
    echo "usage: setup.sh [--development]" >&2
    exit 2
    ;;
esac

missing=
for package in $packages; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q '^install ok installed$' ||
    missing="$missing $package"
done
if [ -n "$missing" ]; then
  sudo=
  [ "$(id -u)" -eq 0 ] || sudo=sudo
  $sudo apt-get update
  # shellcheck disable=SC2086  # word splitting is intended
  $sudo apt-get install -y --no-install-recommends $missing
fi
[ -z "$build" ] || sh -c "$build"
