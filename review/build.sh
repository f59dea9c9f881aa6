#!/usr/bin/env bash
# Bundles the stand-ins of the scripts into target/review/. Needs the packages
# that the build of the deploy file has installed, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in lost_commit unheard_copy frozen_holder tenant_name; do
  node_modules/.bin/esbuild "review/lib/$case.ts" --bundle --platform=node \
    --format=esm --target=node20 --log-level=warning \
    --outfile="target/review/$case.mjs" \
    --banner:js='import{createRequire as __cr}from"node:module";const require=__cr(import.meta.url);'
done
