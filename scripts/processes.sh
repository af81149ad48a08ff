#!/usr/bin/env bash
# Starts the stand-ins and three instances as separate processes on loopback
# until interrupted, and applies the example tickets.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait || true
  rm -rf "$work"
}
trap stop EXIT
trap 'exit 0' INT TERM

start() { # name command...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

platform=127.0.0.1:9000
start platform bin/standin platform --listen $platform
for i in 1 2 3; do
  start "runner-$i" bin/standin runner --listen "127.0.0.1:910$i"
done
start application bin/standin app --listen 127.0.0.1:9201

for i in 1 2 3; do
  cat >"$work/instance-$i.json" <<JSON
{"instance": "instance-$i", "failure_domain": "domain-$i", "platform_url": "http://$platform",
 "client_address": "127.0.0.1:80${i}0", "peer_address": "127.0.0.1:80${i}1", "operator_address": "127.0.0.1:80${i}2"}
JSON
  start "instance-$i" bin/snipeshed serve --settings "$work/instance-$i.json"
done
