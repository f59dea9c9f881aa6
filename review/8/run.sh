#!/usr/bin/env bash
# A route leads to another service for a moment while replicas lag; TROUBLE=0
# does the same without both.
cd "$(dirname "$0")/../.." || exit 2
exec node review/8/case.mjs
