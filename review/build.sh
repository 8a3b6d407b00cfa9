#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review/. They use the standard library only.
set -e
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../target/review/ ./trial
