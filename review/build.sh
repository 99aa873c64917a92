#!/usr/bin/env bash
# Compiles the stand-ins that the cases start, the project's own and those of the review.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b platform/stand-ins review
