#!/usr/bin/env bash
# A primary that is to be replaced is parted from its replicas, the platform and
# some hosts for 7 s; TROUBLE=0 replaces it without that.
cd "$(dirname "$0")/../.." || exit 2
exec node review/7/case.mjs
