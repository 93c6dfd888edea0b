#!/usr/bin/env bash
# Builds what the scripts of cases 6 and later start beside the deploy file's programs:
# their stand-ins are plain JavaScript, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins_2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  if [ -e "$file" ]; then
    node --check "$file"
  fi
done
