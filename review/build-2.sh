#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They are plain modules: they are only checked here.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [0-9]*/*.mjs; do
  case $file in [1-5]/*) continue ;; esac
  node --check "$file"
done
