#!/bin/sh
# Builds the stand-ins of the scripted cases; run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
