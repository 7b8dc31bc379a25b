#!/usr/bin/env bash
# Stops and restarts every part many times under load, one after another, and
# counts requests that were cut: callers whose connection broke, and requests
# whose outcome is unknown. STOPS sets the number for each part (default 50).
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
begin stops

base=${BASE:-26000}
stops=${STOPS:-50}
start_site a 6 $base

seconds=$((stops * 3 + 10))
{
  site_experiment "$seconds" 400 2000 $base
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
