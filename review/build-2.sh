#!/bin/sh
# Builds the stand-ins of the cases 6 to 9. They are Python programs (the project's own under
# soak/, review/lab/ and review/lab-2/), which need only the standard library: this compiles them once, so
# that a missing interpreter or a broken file shows here and not during a case.
set -e
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m compileall -q ../soak lab lab-2 lab-2/more 6 7 8 9
