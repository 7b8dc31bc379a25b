#!/usr/bin/env bash
# Stops and restarts every part many times under load, one after another, and
# counts requests that were cut: callers whose connection broke, and requests
# whose outcome is unknown. STOPS sets the number for each part (default 50).
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(pwd)/run/stops
rm -rf "$dir"
mkdir -p "$dir"
go build -o bin/ ./cmd/...
. scripts/lib.sh
trap stop_all EXIT

base=${BASE:-26000}
stops=${STOPS:-50}
fleet=(--service split --domains a --count 6 --slots 4 --connections 130 --work 2ms --base-port $((base + 300)))
hosts_json a 3 $base >"$dir/hosts.json"
start platform bin/cicada-standin platform --listen 127.0.0.1:$base --hosts "$dir/hosts.json"
start fleet bin/cicada-standin servers "${fleet[@]}" --admin 127.0.0.1:$((base + 299))
start_hosts a 3 $base
wait_store 127.0.0.1:$base
{
  service_record split true '["a"]' unavailability
  bin/cicada-standin records "${fleet[@]}"
} | bin/cicadactl --store 127.0.0.1:$base apply - >/dev/null
sleep 4

seconds=$((stops * 3 + 10))
{
  printf '[run]\nduration = %ss\noutput = %s/stops\n[system]\nentries = %s\nfleets = 127.0.0.1:%s\nstore = 127.0.0.1:%s\n' "$seconds" "$dir" "$entries" $((base + 299)) $base
  printf '[stream.split]\nservice = split\nrate = 400\nwrites = 0.5\nkeys = 2000\n'
  for n in $(seq 1 "$stops"); do # a backend server drains, is emptied, comes back
    printf '[fault.drain-%d]\nat = %ds\nfor = 2s\naction = drain\ntarget = split-%02d\n' "$n" $((n * 3)) $((n % 6))
  done
} >"$dir/stops.ini"
bin/cicada-load --quiet "$dir/stops.ini" >"$dir/report.txt" &
load=$!
sleep 2
for n in $(seq 1 "$stops"); do
  router=a-$((n % 3 + 1)) controller=a-$(((n + 1) % 3 + 1))
  stop "$router-router"
  start_router "$router"
  stop "$controller-controller"
  start_controller "$controller"
  sleep 1
done
verdict=0
wait $load || verdict=1
cat "$dir/report.txt"
echo "router stops: $(grep -h '"router stopped"' "$dir"/*-router.log | wc -l), of which cut: $(grep -h '"router stopped"' "$dir"/*-router.log | grep -c '"drained":false')"
echo "controller stops: $(grep -h '"controller stops"' "$dir"/*-controller.log | wc -l)"
exit $verdict
