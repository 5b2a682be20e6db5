#!/bin/bash
# Builds the program that plays the cases 6 to 10 (clients, servers, discovery, the platform, a proxy) and the project's own stand-ins. Needs
# Go, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin/review
go build -o bin/review/second ./review/testdata/second
# The project's own stand-ins (a mirror, a picture server) are sub-commands of its control program.
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/review/standins ./cmd/silvercovectl
