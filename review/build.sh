#!/bin/bash
# Builds every stand-in that a case starts, into review/bin: this review's own (testdata/parties, the standard library alone).
# The project's own stand-ins (a mirror, a picture server) are sub-commands of bin/silvercovectl, which the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
cd testdata/parties
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../../bin/parties .
