#!/bin/sh
# Fails if docs/architecture.md names a path that does not exist, or if a row of its last table names no path:
# architecture_links.sh ROOT
set -eu
cd "$1"
page=docs/architecture.md
status=0
# Text in backticks that has a slash between two names, or a slash at its end, is a path relative to the root.
for path in $(grep -o '`[^`]*`' "$page" | tr -d '`' | grep -E '^[A-Za-z0-9_.-]+/([A-Za-z0-9_./-]*)?$' | sort -u); do
  [ -e "$path" ] || {
    echo "$page: no such path: $path"
    status=1
  }
done
rows=$(sed -n '/^## Where do I find/,$p' "$page" | grep '^| ' | tail -n +3)
[ -n "$rows" ] || {
  echo "$page: the table under \"Where do I find\" is missing"
  status=1
}
echo "$rows" | grep -vE '`[A-Za-z0-9_.-]+/[A-Za-z0-9_./-]+`' | sed "s|^|$page: no file in the row: |" | grep . && status=1
exit $status
