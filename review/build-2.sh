#!/bin/sh
# The stand-ins of this review are plain JavaScript without dependencies and need no build. The program
# that the scripts start comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f target/acaciadock.cjs ]; then
  echo "target/acaciadock.cjs is missing: run the build of deploy/system.toml first" >&2
  exit 1
fi
for file in review/harness-2/*.js review/[0-9]*/play.js; do
  node --check "$file"
done
