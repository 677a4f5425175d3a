#!/bin/bash
# Builds the stand-ins of the cases in review/11 to review/15. Run it after the build of
# the deploy file. It needs no network.
set -e
cd "$(dirname "$0")/.."
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-mod=mod go build -C review/standin-3 -o ../../target/review-3/standin-3 .
