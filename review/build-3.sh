#!/usr/bin/env bash
# Builds the stand-ins of the third review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/harness-3"
mkdir -p ../../target
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review3 .
