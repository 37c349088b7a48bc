#!/usr/bin/env bash
# Runs clang-tidy over every source of the product, and holds the boundary: no
# name of the platform's wire outside platform/.
# One file a process: files of two dialects in one process upset each other.
# Usage: lint.sh BUILD_DIR   (a build directory that holds compile_commands.json)
set -euo pipefail
wire='"(rows-tx|run-start|run-stop|rows-get|rows-feed|acked-through|fencing-token|machine-move|machine-upkeep|enforces-capacity|expected-rev|path-prefix|api-keys)"|/(rows-tx|run-start|run-stop|rows-feed|machine-move)\b|Sardinerill-(Deadline-Ms|Target-Instance|Lease-Holder|Fencing-Token|Instance-Id|Credential)'
if git grep -nE "$wire" -- 'packages/*'; then
  echo "names of the platform's wire outside platform/" >&2
  exit 1
fi
# Coroutines need the newer one.
coroutines='^(platform|packages/(http|scheduling|ownership|site))/'
git ls-files 'packages/*/src/*.cpp' 'platform/src/*.cpp' | grep -E "$coroutines" |
  xargs -P "$(nproc)" -n 1 clang-tidy-16 -p "$1" --quiet
git ls-files 'packages/*/src/*.cpp' | grep -vE "$coroutines" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$1" --quiet
