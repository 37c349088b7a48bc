#!/usr/bin/env bash
# Runs clang-tidy over every source of the product.
# One file a process: files of two dialects in one process upset each other.
# Usage: lint.sh BUILD_DIR   (a build directory that holds compile_commands.json)
set -euo pipefail
git ls-files 'packages/*/src/*.cpp' |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$1" --quiet
