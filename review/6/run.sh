#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/banyanspur ] && [ -x target/review/claims ] || exit 2
exec target/review/claims target/banyanspur review/6/record.txt
