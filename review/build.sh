#!/bin/sh
# The stand-ins are plain JavaScript without dependencies; building them checks that they can be loaded.
set -e
cd "$(dirname "$0")"
for file in harness/*.js */play.js; do node --check "$file"; done
