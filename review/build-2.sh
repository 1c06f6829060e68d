#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/4 and after, beside what the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/second/faker
