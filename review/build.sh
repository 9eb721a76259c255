#!/usr/bin/env bash
# Builds what the scripts of review/ start besides the gateway, which the deploy file's command builds. The stand-ins
# here are plain modules of Node.js without packages, so that it is enough to check that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
