#!/usr/bin/env bash
# Builds the program that plays the cases, with all stand-ins. The build line of the
# deploy file builds the node.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-case ./review/casetool
