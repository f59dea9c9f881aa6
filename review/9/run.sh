#!/usr/bin/env bash
# A key moves to another tenant during a transaction; TROUBLE=0 leaves it.
cd "$(dirname "$0")/../.." || exit 2
exec node review/9/case.mjs
