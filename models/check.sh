#!/usr/bin/env bash
# Checks every specification; a deliberate fault in one must make its check fail.
set -euo pipefail
cd "$(dirname "$0")"
