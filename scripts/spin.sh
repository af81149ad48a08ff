#!/usr/bin/env bash
# Installs the spin model checker from Debian's packages unless it is already installed.
set -euo pipefail
command -v spin >/dev/null && exit 0
apt-get update -qq
apt-get install -y -qq spin >/dev/null
