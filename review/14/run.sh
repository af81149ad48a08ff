#!/usr/bin/env bash
# Plays the case "rewind" after the build of the deploy file and review/build-3.sh; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/snipeshed && -x target/third ]] || exit 2
exec target/third rewind review/14
