#!/bin/sh
# Builds the stand-in of the cases 11 to 13. It needs the standard library only.
set -e
cd "$(dirname "$0")/sim3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-3/sim3 .
