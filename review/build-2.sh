#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It needs the standard library only.
set -e
cd "$(dirname "$0")/sim2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/sim2 .
