#!/bin/bash
# Builds the program that plays the cases 6 to 10: clients, servers, discovery, the platform and the proxies between. Needs Go, and no
# network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin/review
go build -o bin/review/second ./review/testdata/second
