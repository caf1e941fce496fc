#!/bin/sh
# Builds the stand-ins of the cases 6 to 10.
set -e
cd "$(dirname "$0")/standin2"
mkdir -p ../../.build
GOWORK=off go build -o ../../.build/standin2 .
