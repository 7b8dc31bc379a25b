#!/usr/bin/env bash
# Pauses controllers, routers and backend servers of one failure domain again and
# again under load, each for longer than its leases run, and lets the oracle look
# for broken promises. PAUSES sets the number (default 12), SEED their order.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(pwd)/run/pauses
rm -rf "$dir"
mkdir -p "$dir"
go build -o bin/ ./cmd/...
. scripts/lib.sh
trap stop_all EXIT

base=${BASE:-29000}
pauses=${PAUSES:-12}
RANDOM=${SEED:-1}
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
seconds=$((pauses * 3 + 6))
{
  printf '[run]\nduration = %ss\noutput = %s/pauses\n[system]\nentries = %s\nfleets = 127.0.0.1:%s\nstore = 127.0.0.1:%s\n' "$seconds" "$dir" "$entries" $((base + 299)) $base
  printf '[stream.split]\nservice = split\nrate = 400\nwrites = 0.5\nkeys = 1000\n'
  for n in $(seq 1 "$pauses"); do
    printf '[fault.freeze-%d]\nat = %ds\nfor = %dms\naction = freeze\ntarget = split-%02d\n' "$n" $((n * 3)) $((500 + RANDOM % 2500)) $((RANDOM % 6))
  done
} >"$dir/pauses.ini"
bin/cicada-load --quiet "$dir/pauses.ini" >"$dir/report.txt" &
load=$!
sleep 2
for _ in $(seq 1 "$pauses"); do
  part=a-$((1 + RANDOM % 3))-$([ $((RANDOM % 2)) = 0 ] && echo controller || echo router)
  kill -STOP "${pid_of[$part]}"
  sleep $((1 + RANDOM % 2)).$((RANDOM % 10))
  kill -CONT "${pid_of[$part]}"
  sleep 0.$((RANDOM % 10))
done
verdict=0
wait $load || verdict=1
cat "$dir/report.txt"
exit $verdict
