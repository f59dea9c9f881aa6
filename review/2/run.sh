#!/usr/bin/env bash
# Exits with 1 if an acknowledged commit is lost, 0 if none is, 2 if the case
# could not run. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/unheard_copy.mjs ] && [ -f target/turmericchute.mjs ] || exit 2
exec node target/review/unheard_copy.mjs review/2
