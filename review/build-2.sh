#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The system itself is built by
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/claims ./review/testdata/claims
