#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/. They need no module but their own.
set -euo pipefail
cd "$(dirname "$0")/probe"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=readonly GOTOOLCHAIN=local go build -o ../../target/probe .
