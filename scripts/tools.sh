#!/usr/bin/env bash
# Installs pinned versions of the formatter, the linter and buf into .bin.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
mkdir -p .bin
install() { # name package@version
  local stamp=".bin/.$1-${2##*@}"
  [ -e "$stamp" ] && [ -x ".bin/$1" ] && return
  (cd / && GOBIN="$root/.bin" go install "$2")
  touch "$stamp"
}
install golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
install gofumpt mvdan.cc/gofumpt@v0.12.0
install buf github.com/bufbuild/buf/cmd/buf@v1.75.0
