#!/usr/bin/env bash
# Builds the stand-ins that the cases of review 2 start. Run it after the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b platform
test -f platform/dist/standins/fleet.js
test -f target/sycamoreyoke.cjs
