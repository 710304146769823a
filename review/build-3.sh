#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./cmd/hyssopsill-standin
go build -o target/review-stage3 ./review/stage3
