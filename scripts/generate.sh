#!/usr/bin/env bash
# Regenerates all code and pages that are generated from the schema.
set -euo pipefail
cd "$(dirname "$0")/.."
.bin/buf generate
go run ./cmd/snipeshed settings --markdown > docs/settings.md
