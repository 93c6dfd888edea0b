#!/usr/bin/env bash
# The stand-ins are plain JavaScript on Node.js alone: nothing to compile.
# Checks that each one can be read.
set -euo pipefail
cd "$(dirname "$0")"
find . -name '*.mjs' -print0 | xargs -0 -n 1 node --check
