#!/bin/bash
# The scripts of review/11 to review/15 run the bundle of the deploy file's build, and stand-ins of their own that
# need no build (review/stand-ins-3): this checks that the bundle is there and that node can read all of them.
cd "$(dirname "$0")/.." || exit 2
if [ ! -f target/acaciadock.cjs ]; then
  echo 'target/acaciadock.cjs is missing: run the build of the deploy file first' >&2
  exit 1
fi
for file in review/stand-ins-3/*.mjs review/1[1-5]/case.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 1
done
echo 'the stand-ins of review 3 are ready'
