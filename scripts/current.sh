#!/usr/bin/env bash
# Fails if generated code or pages are out of date with the schema, or if the schema is incompatible with the released one
# (docs/upgrades.md says when and how to renew proto/released.binpb).
set -euo pipefail
cd "$(dirname "$0")/.."
files=$(git ls-files '*.pb.go' '*.twirp.go' docs/settings.md)
before=$(cat $files | sha256sum)
scripts/generate.sh
after=$(cat $files | sha256sum)
if [ "$before" != "$after" ]; then
  echo "generated files were out of date; run make generate and commit them" >&2
  exit 1
fi
.bin/buf breaking --against proto/released.binpb
