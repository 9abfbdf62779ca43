#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-4/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-4/standin ./review/standin-4
