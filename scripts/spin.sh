#!/usr/bin/env bash
# Installs the model checker from Debian's packages unless it is there.
set -euo pipefail
command -v spin >/dev/null && exit 0
apt-get update -qq
apt-get install -y -qq spin >/dev/null
