#!/bin/sh
# The stand-ins of the cases are plain modules of Node: there is nothing to compile, only to check.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do node --check "$file"; done
