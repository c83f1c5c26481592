#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/13 start, into target/review3. It needs Go, and nothing that it lacks.
set -e
cd "$(dirname "$0")/standins-3"
GOWORK=off GOFLAGS=-buildvcs=false GOTOOLCHAIN=local GOPROXY=off go build -o ../../target/review3 .
