#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They use Go's standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin2 ./review/standin2
