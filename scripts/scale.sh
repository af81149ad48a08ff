#!/usr/bin/env bash
# Runs fleets of real snipeshed processes on loopback with the stand-in platform
# and prints key=value lines: CPU time, memory and peer traffic (counted at both ends) per instance,
# reads of the store and the instance list by the whole fleet, and the time until a ticket is in
# force at the last instance.
#
# Usage: scripts/scale.sh [instances...]   (default: 4 16 64)
set -euo pipefail
cd "$(dirname "$0")/.."

window=10        # seconds of measurement per fleet
settle=15        # seconds before the measurement, so that connections are open
platform=127.0.0.1:9000
pids=()
work=$(mktemp -d)
stop() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap 'stop; rm -rf "$work"' EXIT
trap 'exit 1' INT TERM

# sum_debug_var prints the sum over all instances of the first number with the given name in /debug/vars.
sum_debug_var() { # instances name
  for i in $(seq "$1"); do
    curl -s "127.0.0.1:$((20000 + 10 * i + 2))/debug/vars" | grep -o "\"$2\":[0-9]*" | head -1 | cut -d: -f2
  done | awk '{s += $1} END {print s + 0}'
}

ticks() { # prints the total CPU time of all instances, in clock ticks
  for pid in "${pids[@]:1}"; do cut -d' ' -f14,15 "/proc/$pid/stat"; done | awk '{s += $1 + $2} END {print s}'
}

resident() { # prints the total resident memory of all instances, in KiB
  for pid in "${pids[@]:1}"; do awk '/VmRSS/ {print $2}' "/proc/$pid/status"; done | awk '{s += $1} END {print s}'
}

reads() { curl -s "http://$platform/admin/counts" | grep -o '"\(gets\|lists\|watches\|instance_lists\)":[0-9]*' | cut -d: -f2 | awk '{s += $1} END {print s}'; }

fleet() { # instances
  local n=$1
  bin/standin platform --address $platform >"$work/platform.log" 2>&1 &
  pids+=($!)
  sleep 0.5
  for i in $(seq "$n"); do
    local port=$((20000 + 10 * i))
    cat >"$work/$i.json" <<JSON
{"instance": "instance-$i", "failure_domain": "domain-$((i % 4))", "platform_url": "http://$platform",
 "client_address": "127.0.0.1:$port", "peer_address": "127.0.0.1:$((port + 1))", "operator_address": "127.0.0.1:$((port + 2))"}
JSON
    curl -sf -o /dev/null -X POST "http://$platform/admin/instances" \
      -d "{\"id\":\"instance-$i\",\"address\":\"127.0.0.1:$((port + 1))\",\"failure_domain\":\"domain-$((i % 4))\",\"kind\":\"snipeshed\",\"state\":\"live\"}"
    bin/snipeshed serve --settings "$work/$i.json" >"$work/$i.log" 2>&1 &
    pids+=($!)
  done
  sleep $settle
  local bytes_before ticks_before reads_before bytes_after ticks_after reads_after in_force_s
  bytes_before=$(($(sum_debug_var "$n" received) + $(sum_debug_var "$n" sent)))
  ticks_before=$(ticks) reads_before=$(reads)
  sleep $window
  bytes_after=$(($(sum_debug_var "$n" received) + $(sum_debug_var "$n" sent)))
  ticks_after=$(ticks) reads_after=$(reads)
  in_force_s=$(bin/snipeshed ticket apply --wait --address 127.0.0.1:20012 --author scale examples/kodusvahetus.json | sed -n 's/.*after \([0-9.]*\) s$/\1/p' | sort -n | tail -1)
  awk -v n="$n" -v w=$window -v b=$((bytes_after - bytes_before)) -v c=$((ticks_after - ticks_before)) -v r=$((reads_after - reads_before)) -v m="$(resident)" -v l="$in_force_s" -v hz="$(getconf CLK_TCK)" 'BEGIN {
    printf "bench=processes instances=%d peer_bytes_per_s=%.0f cpu_percent_of_core=%.2f resident_mib=%.1f fleet_reads_per_s=%.1f in_force_max_s=%s\n",
      n, 2 * b / n / w, 100 * c / hz / n / w, m / 1024 / n, r / w, l }'
  stop
}

for n in "${@:-4 16 64}"; do
  for size in $n; do fleet "$size"; done
done
