#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs what the build of the deploy file has downloaded.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/faker
