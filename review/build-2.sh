#!/usr/bin/env bash
# Builds the stand-ins that the scripted cases of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/second/stand
