#!/usr/bin/env bash
# The scripts use only the bundle of the deploy file, Node's own modules and the stand-ins in review/lib, which need no
# build; this checks that they can be parsed and that the bundle is there.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
test -f ../target/bergamotcove.mjs
