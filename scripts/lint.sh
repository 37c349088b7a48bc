#!/usr/bin/env bash
# Runs clang-tidy over the product's sources, and checks that names of the
# platform's wire protocol occur only under platform/.
# Each process checks one file: files of different C++ standards checked in one
# process affect each other's results.
# Usage: lint.sh BUILD_DIR   (a build directory with compile_commands.json)
set -euo pipefail
wire_names='"(rows-tx|run-start|run-stop|rows-get|rows-feed|acked-through|fencing-token|machine-move|machine-upkeep|enforces-capacity|expected-rev|path-prefix|api-keys)"|/(rows-tx|run-start|run-stop|rows-feed|machine-move)\b|Sardinerill-(Deadline-Ms|Target-Instance|Lease-Holder|Fencing-Token|Instance-Id|Credential)'
if git grep -nE "$wire_names" -- 'packages/*'; then
  echo "names of the platform's wire protocol found outside platform/" >&2
  exit 1
fi
# Sources with coroutines need clang-tidy-16.
coroutine_sources='^(platform|packages/(http|scheduling|capacity|ownership|site))/'
git ls-files 'packages/*/src/*.cpp' 'platform/src/*.cpp' | grep -E "$coroutine_sources" |
  xargs -P "$(nproc)" -n 1 clang-tidy-16 -p "$1" --quiet
git ls-files 'packages/*/src/*.cpp' | grep -vE "$coroutine_sources" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$1" --quiet
