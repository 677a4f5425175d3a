#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10, to target/review-2/.
# It uses the standard library only and needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out/source"
for f in review/standin-2/*.in; do
	name=$(basename "$f" .in)
	cp "$f" "$out/source/$name"
done
(cd "$out/source" && GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local go build -o ../standin-2 .)
