#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run.
exec sh "$(dirname "$0")/../run-2.sh" "$(dirname "$0")"
