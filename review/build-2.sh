#!/usr/bin/env bash
# Builds the project's own stand-ins, which the scripts of this review start, to dist/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ node_modules -nt package-lock.json ] || npm ci --silent --no-audit --no-fund
npm run --silent build
