#!/bin/sh
# The stand-ins and cases are plain modules for Node 20 without dependencies, so there is nothing to compile: this checks their syntax.
set -eu
cd "$(dirname "$0")"
for file in standins/*.mjs probes/*.mjs */case.mjs; do
    node --check "$file"
done
