#!/usr/bin/env bash
# Generates the message code in protocol/wire from wire.proto.
set -euo pipefail
cd "$(dirname "$0")/.."
export PATH="$PATH:$(go env GOPATH)/bin"
protoc --go_out=. --go_opt=paths=source_relative \
	--twirp_out=. --twirp_opt=paths=source_relative protocol/wire/wire.proto
