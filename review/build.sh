#!/bin/sh
# Builds the stand-in that the scripts of the cases start. It needs no network.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .
