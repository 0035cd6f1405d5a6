#!/bin/sh
# Checks the stand-ins of the cases 6 to 10. They are plain programs of Node.js, without
# dependencies, so that nothing has to be bundled.
set -e
cd "$(dirname "$0")"
for file in harness-2/*.js 6/run.js 7/run.js 8/run.js 9/run.js 10/run.js; do
  node --check "$file"
done
