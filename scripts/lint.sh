#!/usr/bin/env bash
# Runs clang-tidy over every source of the product.
# Usage: lint.sh BUILD_DIR   (a build directory that holds compile_commands.json)
set -euo pipefail
git ls-files 'packages/*/src/*.cpp' |
  xargs -P "$(nproc)" -n 2 clang-tidy -p "$1" --quiet
