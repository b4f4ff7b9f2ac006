#!/bin/sh
# Builds the stand-ins of the cases. It needs no network.
set -e
cd "$(dirname "$0")/harness"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-harness .
