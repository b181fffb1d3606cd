#!/usr/bin/env bash
# Checks the stand-ins and the scripts of the cases: they are plain modules for
# Node.js and need no build. The program itself is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.mjs [0-9]/*.mjs; do
  node --check "$file"
done
