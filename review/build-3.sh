#!/usr/bin/env bash
# Builds the stand-ins of the third review. It needs no network after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/third ./review/third/stand
