#!/usr/bin/env bash
# Installs the tools, then checks format, lint, build and all tests with the
# race detector.
set -euo pipefail
cd "$(dirname "$0")"

LINT_VERSION=v2.15.0
TOOLS="$(go env GOPATH)/bin"
LINT="$TOOLS/golangci-lint"

if ! "$LINT" version 2>/dev/null | grep -q "${LINT_VERSION#v}"; then
	go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$LINT_VERSION"
fi

echo "== format"
"$LINT" fmt --diff
echo "== lint"
"$LINT" run ./...
echo "== build"
go build ./...
echo "== tests"
go run ./internal/tools/citest
