#!/bin/sh
# The stand-ins of the cases 11 to 15 are plain modules for Node.js 20 in
# review/lib-3 and need no build. This checks that each of them can be read.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  node --check "$file"
done
test -f ../target/turmericchute.mjs ||
  { echo "run the build of deploy/system.toml first" >&2; exit 2; }
