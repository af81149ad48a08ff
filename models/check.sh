#!/usr/bin/env bash
# Checks every Promela model with spin. A run with a FAULT_ define inserts a bug, which spin must find.
# Prints one line per run and exits with status 1 if a run does not end as expected.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
export models=$PWD work

check() { # model expected defines; with -DLIVE it checks the model's ltl property under weak fairness
  local model=$1 expected=$2 dir result states trail defines compile="-DSAFETY -DCOLLAPSE" search=""
  shift 2
  defines=$*
  if [[ $defines == *-DLIVE* ]]; then
    compile="-DNFAIR=4" search="-a -f" # NFAIR=4 allows up to 14 processes; without -DCOLLAPSE the search takes half the time
  fi
  dir=$(mktemp -d -p "$work")
  cd "$dir"
  result=broken states=0
  # shellcheck disable=SC2086 # word splitting of the flags is intended
  if spin $defines -a "$models/$model.pml" >log 2>&1 && gcc -w -O2 $compile -DMEMLIM=2000 -o pan pan.c >>log 2>&1; then
    ./pan $search -m200000 >>log 2>&1 || true
    states=$(awk '/states, stored/ {print $1}' log)
    if grep -q 'errors: 0$' log && ! grep -q 'Search not completed' log; then
      result=holds
    elif grep -q '^pan:1: \(assertion violated\|invalid end state\|acceptance cycle\)' log; then
      result=violated
    fi
  fi
  trail=$(sed -n 's/^pan:1: \(.*\) (at depth.*/\1/p' log | head -1)
  echo "model=$model defines=\"$defines\" states=${states:-0} result=$result expected=$expected error=\"$trail\""
  [ "$result" = "$expected" ] || { [ "$result" != broken ] || cat log >&2; return 1; }
}
export -f check

# Four runs at a time, each limited to 2 GB; the longest runs come first to shorten the total time.
if ! xargs -P 4 -I{} bash -c 'check {}' <<'RUNS'; then
restart holds -DLIVE
restart holds
restore holds
restore holds -DLATE
action holds -DRETENTION -DFAULTS=2
action holds
ticket holds
ticket holds -DSPREAD
action holds -DLIVE
action violated -DFAULT_TAKEOVER
action violated -DFAULT_RESEND
action violated -DFAULT_EARLY
action violated -DFAULT_FORGET
action violated -DFAULT_MISSING
action violated -DFAULT_REWRITE
action violated -DRETENTION -DFAULT_BLIND
action violated -DRETENTION -DFAULT_YOUNG
ticket violated -DFAULT_BLIND
ticket violated -DFAULT_OWN
ticket violated -DFAULT_UNCHECKED
ticket violated -DFAULT_TAIL
ticket violated -DSPREAD -DFAULT_STALE
ticket violated -DSPREAD -DFAULT_ORDER
restart violated -DFAULT_LOWER
restart violated -DFAULT_FORGET
restart violated -DFAULT_FEW
restart violated -DFAULT_CONTACT
restart violated -DLIVE -DFAULT_RETRY
action violated -DLIVE -DFAULT_RETRY
edge holds
edge holds -DREPEATABLE
edge violated -DFAULT_CUT
edge violated -DREPEATABLE -DFAULT_FORGET
edge violated -DFAULT_SALVAGE
edge violated -DFAULT_ASSUME
restore violated -DFAULT_NUMBER
restore violated -DFAULT_FORGET
restore violated -DFAULT_MERGED
restore violated -DFAULT_STICKY
RUNS
  echo "models: a check did not end as expected" >&2
  exit 1
fi
