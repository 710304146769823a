#!/bin/sh
# Builds the program that the scripts of the cases 6 to 8 start, with their stand-ins.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/casekit
