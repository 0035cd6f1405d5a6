#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
if [ ! -e ../../target/platform.cjs ]; then
  echo 'could not run: the build of the deploy file has not been made'
  exit 2
fi
exec node case.js
