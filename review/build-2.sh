#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. It needs no
# network: their module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
GOTOOLCHAIN=local GOFLAGS=-buildvcs=false GOWORK=off go build -o bin/stand-2 .
