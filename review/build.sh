#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-stand .
