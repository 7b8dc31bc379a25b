#!/usr/bin/env bash
# Loses all entry hosts of one of three failure domains under load, declares the
# domain lost 3 s later, and reports what callers saw. The lost domain's backend
# servers stay up, as if only cut off, so that the oracle would notice if they
# still ran requests for keys that have moved.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(pwd)/run/domain-lost
rm -rf "$dir"
mkdir -p "$dir"
go build -o bin/ ./cmd/...
. scripts/lib.sh
trap stop_all EXIT

base=${BASE:-27000}
domains="a b c"
fleet=(--service split --domains a,b,c --count 9 --slots 4 --connections 130 --work 2ms --base-port $((base + 300)))
hosts_json "$domains" 3 $base >"$dir/hosts.json"
start platform bin/cicada-standin platform --listen 127.0.0.1:$base --hosts "$dir/hosts.json"
start fleet bin/cicada-standin servers "${fleet[@]}" --admin 127.0.0.1:$((base + 299))
start_hosts "$domains" 3 $base
wait_store 127.0.0.1:$base
{
  service_record split true '["a","b","c"]' unavailability
  bin/cicada-standin records "${fleet[@]}"
} | bin/cicadactl --store 127.0.0.1:$base apply - >/dev/null
sleep 4
printf '[run]\nduration = 20s\noutput = %s/lost\n[system]\nentries = %s\nfleets = 127.0.0.1:%s\nstore = 127.0.0.1:%s\n[stream.split]\nservice = split\nrate = 600\nwrites = 0.5\nkeys = 3000\n' \
  "$dir" "$entries" $((base + 299)) $base >"$dir/lost.ini"
bin/cicada-load "$dir/lost.ini" >"$dir/report.txt" &
load=$!
sleep 6
for n in 1 2 3; do kill -KILL "${pid_of[c-$n-router]}" "${pid_of[c-$n-controller]}"; done
sleep 3
echo '{"kind":"lost","name":"c-fire","schema":"v2","spec":{"scope":"domain","target":"c"}}' |
  bin/cicadactl --store 127.0.0.1:$base apply -
verdict=0
wait $load || verdict=1
cat "$dir/report.txt"
bin/cicadactl --store 127.0.0.1:$base list page
exit $verdict
