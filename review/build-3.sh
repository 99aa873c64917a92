#!/bin/sh
# Compiles the stand-ins and the scripts of this review; needs the installed packages and no network.
set -e
cd "$(dirname "$0")/.."
npx tsc -b platform/stand-ins review/tsconfig-3.json
