#!/usr/bin/env bash
# Generates internal/wire from the schema. Needs buf, protoc-gen-go and
# protoc-gen-go-grpc on the PATH; all three install with "go install".
set -euo pipefail
cd "$(dirname "$0")"
buf generate
