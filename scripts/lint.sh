#!/usr/bin/env bash
# Checks formatting, vet and staticcheck in both modules, and that generated code is current.
set -euo pipefail
cd "$(dirname "$0")/.."
export PATH="$PATH:$(go env GOPATH)/bin"

# Installs a tool at its pinned version unless it is on the PATH.
need() {
	command -v "$1" >/dev/null || go install "$2"
}
need gofumpt mvdan.cc/gofumpt@v0.12.0
need staticcheck honnef.co/go/tools/cmd/staticcheck@v0.8.2

unformatted=$(git ls-files '*.go' | grep -vE '\.pb\.go$|\.twirp\.go$' | xargs gofumpt -l)
if [ -n "$unformatted" ]; then
	echo "not formatted with gofumpt:" "$unformatted"
	exit 1
fi
for module in . bench; do
	(cd "$module" && go vet ./... && staticcheck ./...)
done
go vet -tags hostedonly ./cmd/... && staticcheck -tags hostedonly ./cmd/...
if command -v protoc >/dev/null && command -v protoc-gen-go >/dev/null && command -v protoc-gen-twirp >/dev/null; then
	scripts/generate.sh
	git diff --exit-code -- protocol/wire
fi
