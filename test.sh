#!/usr/bin/env bash
# Checks formatting and runs go vet, staticcheck and all tests with the race detector.
# Prints KNOWN-RED.txt and skips the tests that it names.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l $(git ls-files '*.go'))
if [ -n "$unformatted" ]; then
  printf 'gofmt would change:\n%s\n' "$unformatted"
  exit 1
fi
go vet ./...
go tool staticcheck ./...

# A line "test: ^TestName$" in KNOWN-RED.txt makes this script skip that test.
skip=()
if [ -f KNOWN-RED.txt ]; then
  printf 'known failures:\n'
  cat KNOWN-RED.txt
  known=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd '|' -)
  if [ -n "$known" ]; then
    printf 'not run: %s\n' "$known"
    skip=(-skip "$known")
  fi
fi
go test -race "${skip[@]}" ./...
