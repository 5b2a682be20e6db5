#!/bin/bash
# Builds every stand-in that a case starts, into review/bin: this review's own (testdata/parties, the standard library alone), and the project's
# own (a mirror, a picture server), which are sub-commands of silvercovectl. It needs the modules that the build of the deploy file has
# fetched, and no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
(cd .. && GOPROXY=off CGO_ENABLED=1 go build -ldflags=-linkmode=external -o review/bin/standins ./cmd/silvercovectl)
cd testdata/parties
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../../bin/parties .
