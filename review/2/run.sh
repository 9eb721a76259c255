#!/usr/bin/env bash
# Exits with 1 if a client got a success that no runner made, 0 if none did, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
