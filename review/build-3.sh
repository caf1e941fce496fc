#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the project's own programs.
set -e
cd "$(dirname "$0")/drill"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/drill .
