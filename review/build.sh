#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The system itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/testdata/standin
