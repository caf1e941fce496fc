#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs Go only, and no network.
set -eu
cd "$(dirname "$0")"
mkdir -p .build
cd standin
GOWORK=off go build -o ../.build/standin .
