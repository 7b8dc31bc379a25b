#!/usr/bin/env bash
# Starts two users' systems on loopback, puts load and faults on them, prints a
# report for each and stops everything gracefully. Exits non-zero if a promise
# was broken. SECONDS_OF_LOAD sets the length of the load (default 20).
set -euo pipefail
cd "$(dirname "$0")/.."

load_seconds=${SECONDS_OF_LOAD:-20}
rate_factor=${RATE_FACTOR:-1}
dir=$(pwd)/run
rm -rf "$dir"
mkdir -p "$dir"
go build -o bin/ ./cmd/...

. scripts/lib.sh
trap stop_all EXIT

fleets=""
# start_fleet BASE SERVICE DOMAINS COUNT OFFSET SLOTS CONNECTIONS WORK
start_fleet() {
  local base=$1 service=$2 domains=$3 count=$4 port=$(($1 + $5)) slots=$6 connections=$7 work=$8
  local described=(--service "$service" --domains "$domains" --count "$count" --base-port $((port + 1))
    --slots "$slots" --connections "$connections" --work "$work")
  start "$service" bin/cicada-standin servers "${described[@]}" --admin "127.0.0.1:$port"
  bin/cicada-standin records "${described[@]}" >>"$dir/records-$base.json"
  fleets+="${fleets:+, }127.0.0.1:$port"
}

# stream NAME SERVICE RATE KEYED WRITES KEYS
stream() {
  printf '\n[stream.%s]\nservice = %s\nrate = %s\nkeyed = %s\nwrites = %s\nkeys = %s\n' "$1" "$2" $(($3 * rate_factor)) "$4" "$5" "$6"
}

echo "== starting two users' systems"
swan=21000 punch=22000
perth_domains="perth-a perth-b perth-c" tbilisi_domains="tbilisi-a tbilisi-b tbilisi-c"
hosts_json "$perth_domains" 3 $swan >"$dir/hosts-$swan.json"
hosts_json "$tbilisi_domains" 3 $punch >"$dir/hosts-$punch.json"
start swanline-platform bin/cicada-standin platform --listen 127.0.0.1:$swan --hosts "$dir/hosts-$swan.json"
start punchline-platform bin/cicada-standin platform --listen 127.0.0.1:$punch --hosts "$dir/hosts-$punch.json"

perth='["perth-a","perth-b","perth-c"]' tbilisi='["tbilisi-a","tbilisi-b","tbilisi-c"]'
{ service_record split true "$perth" unavailability
  service_record entries false "$perth" unavailability
  service_record results false "$perth" unavailability; } >"$dir/records-$swan.json"
{ service_record defects true "$tbilisi" churn
  service_record signoffs false "$tbilisi" churn
  service_record reports false "$tbilisi" churn; } >"$dir/records-$punch.json"

fleets=""
start_fleet $swan split perth-a,perth-b,perth-c 15 300 4 130 2ms
start_fleet $swan entries perth-a,perth-b,perth-c 8 330 4 130 2ms
start_fleet $swan results perth-a,perth-b,perth-c 13 350 4 130 2ms
swan_fleets=$fleets
fleets=""
start_fleet $punch defects tbilisi-a,tbilisi-b,tbilisi-c 10 300 2 110 2ms
start_fleet $punch signoffs tbilisi-a,tbilisi-b,tbilisi-c 6 330 2 110 2ms
start_fleet $punch reports tbilisi-a,tbilisi-b,tbilisi-c 9 350 2 110 2ms
punch_fleets=$fleets

start_hosts "$perth_domains" 3 $swan
swan_entries=$entries
start_hosts "$tbilisi_domains" 3 $punch
punch_entries=$entries

echo "== applying records"
for base in $swan $punch; do
  wait_store 127.0.0.1:$base
  bin/cicadactl --store 127.0.0.1:$base apply "$dir/records-$base.json" | awk '{n[$2]++} END {for (a in n) print n[a], "records", a}'
done
sleep 3

{ printf '[run]\nduration = %ss\noutput = %s/swanline\n\n[system]\nentries = %s\nfleets = %s\nstore = 127.0.0.1:%s\n' "$load_seconds" "$dir" "$swan_entries" "$swan_fleets" $swan
  stream split split 800 true 0.3 5000
  stream entries entries 150 false 0.5 1
  stream results results 300 false 0 1
  printf '\n[fault.freeze]\nat = 5s\nfor = 4s\naction = freeze\ntarget = split-03\n'; } >"$dir/swanline.ini"
{ printf '[run]\nduration = %ss\noutput = %s/punchline\n\n[system]\nentries = %s\nfleets = %s\nstore = 127.0.0.1:%s\n' "$load_seconds" "$dir" "$punch_entries" "$punch_fleets" $punch
  stream defects defects 400 true 0.3 2000
  stream signoffs signoffs 100 false 1 1
  stream reports reports 150 false 0 1
  printf '\n[fault.freeze]\nat = 6s\nfor = 4s\naction = freeze\ntarget = defects-04\n'; } >"$dir/punchline.ini"

echo "== load for $load_seconds s; a backend server of each freezes at 5 s, an entry host of each is lost at 12 s"
(
  sleep 12
  kill -KILL "${pid_of[perth-b-1-controller]}" "${pid_of[perth-b-1-router]}" "${pid_of[tbilisi-c-2-controller]}" "${pid_of[tbilisi-c-2-router]}"
  sleep 2
  hosts_json "$perth_domains" 3 $swan perth-b-1 >"$dir/hosts-$swan.json"
  hosts_json "$tbilisi_domains" 3 $punch tbilisi-c-2 >"$dir/hosts-$punch.json"
) 2>/dev/null &
killer=$!
bin/cicada-load --quiet "$dir/punchline.ini" >"$dir/punchline.txt" &
punch_load=$!
verdict=0
bin/cicada-load "$dir/swanline.ini" >"$dir/swanline.txt" || verdict=1
wait $punch_load || verdict=1
wait $killer || true

echo "== Swanline Chip Timing"
cat "$dir/swanline.txt"
echo
echo "== Punchline Homes Inspect"
cat "$dir/punchline.txt"

echo
echo "== configuration in force, and burn"
for base in $swan $punch; do
  bin/cicadactl --store 127.0.0.1:$base status
  bin/cicadactl --store 127.0.0.1:$base report
done

echo
echo "== stopping gracefully"
stop_all
trap - EXIT
undrained=$(grep -l '"drained":false' "$dir"/*-router.log || true)
if [ -n "$undrained" ]; then
  echo "requests were cut by a planned stop of: $undrained"
  verdict=1
fi
[ $verdict = 0 ] && echo "no promise was broken" || echo "FAILED: see $dir"
exit $verdict
