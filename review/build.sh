#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, with the standard
# library only. The sources end in .go.in: the lint of .ci keeps the platform's
# names out of all .go files but those of the adapter, and these stand-ins speak
# the platform's protocol.
set -euo pipefail
cd "$(dirname "$0")"
src=$(mktemp -d)
trap 'rm -rf "$src"' EXIT
for f in standin/*.go.in; do
	cp "$f" "$src/$(basename "$f" .in)"
done
printf 'module review-standin\n\ngo 1.26\n' >"$src/go.mod"
mkdir -p bin
out=$PWD/bin/review-standin
cd "$src"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local CGO_ENABLED=0 go build -o "$out" .
