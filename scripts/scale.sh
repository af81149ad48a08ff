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

# vars prints the sum of one number in /debug/vars over all instances.
vars() { # instances name
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
  local b0 c0 r0 b1 c1 r1 last
  b0=$(($(vars "$n" received) + $(vars "$n" sent)))
  c0=$(ticks) r0=$(reads)
  sleep $window
  b1=$(($(vars "$n" received) + $(vars "$n" sent)))
  c1=$(ticks) r1=$(reads)
  last=$(bin/snipeshed ticket apply --wait --address 127.0.0.1:20012 --author scale examples/kodusvahetus.json | sed -n 's/.*after \([0-9.]*\) s$/\1/p' | sort -n | tail -1)
  awk -v n="$n" -v w=$window -v b=$((b1 - b0)) -v c=$((c1 - c0)) -v r=$((r1 - r0)) -v m="$(resident)" -v l="$last" -v hz="$(getconf CLK_TCK)" 'BEGIN {
    printf "bench=processes instances=%d peer_bytes_per_s=%.0f cpu_percent_of_core=%.2f resident_mib=%.1f fleet_reads_per_s=%.1f in_force_max_s=%s\n",
      n, 2 * b / n / w, 100 * c / hz / n / w, m / 1024 / n, r / w, l }'
  stop
}

for n in "${@:-4 16 64}"; do
  for size in $n; do fleet "$size"; done
done
