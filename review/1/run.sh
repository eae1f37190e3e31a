#!/bin/sh
# Writes what was sent, answered and run to record.txt in this folder.
ulimit -c 0
here=$(cd "$(dirname "$0")" && pwd)
exec node "$here/run.mjs" "$here/record.txt"
