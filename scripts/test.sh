#!/usr/bin/env bash
# Runs the Go tests with the given flags. The tests listed in KNOWN-RED.txt don't
# affect the exit status; they run afterwards and their results are printed.
#
# An entry begins with a line "test: <package> <regular expression of the test>".
set -euo pipefail
cd "$(dirname "$0")/.."

known=()
if [ -e KNOWN-RED.txt ]; then
  mapfile -t known < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
skip=$(printf '%s\n' "${known[@]}" | awk 'NF {print $2}' | paste -sd'|')
go test "$@" ${skip:+-skip "$skip"} ./...
for entry in "${known[@]}"; do
  read -r package name <<<"$entry"
  echo "known red: $package $name"
  go test "$@" -run "$name" "$package" 2>&1 | tail -n 5 || true
done
