#!/bin/bash
# Builds the stand-ins of the cases that are scripts. It uses only the standard library, and a module of its own.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS="${GOFLAGS:--buildvcs=false}" go build -o ../bin/standin .
