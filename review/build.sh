#!/bin/bash
# Builds the stand-ins that the cases start. The project's own programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
cd testdata/standin
GOWORK=off go build -o ../../bin/standin .
