#!/bin/sh
# Builds the stand-ins and scripts of the cases 11 to 15. It needs no network: the module has no
# dependencies. The daemons themselves come from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/stand-3"
GOTOOLCHAIN=local GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/stand3 .
