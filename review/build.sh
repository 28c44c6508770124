#!/usr/bin/env bash
# Builds the stand-ins that the scripts start; the deploy build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -b platform
