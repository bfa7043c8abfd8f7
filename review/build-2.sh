#!/bin/sh
# The stand-ins of review/standins-2 and the scripts are plain JavaScript: nothing is built, only checked.
cd "$(dirname "$0")/.." || exit 1
for file in review/standins-2/*.mjs review/[6-9]/run.mjs; do node --check "$file" || exit 1; done
