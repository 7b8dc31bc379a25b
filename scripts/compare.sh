#!/usr/bin/env bash
# Runs the system and the bare pass-through side by side on equal fleets:
# at half load, and at twice what the servers can do. RATES overrides.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
begin compare

base=${BASE:-25000}
servers=${SERVERS:-6}
slots=4
work=${WORK:-4ms}
seconds=${SECONDS_OF_LOAD:-8}
zipf=${ZIPF:-0}
fleet=(--service split --domains a --count "$servers" --slots $slots --connections 130 --work "$work")
hosts_json a 3 $base >"$dir/hosts.json"
start platform bin/cicada-standin platform --listen 127.0.0.1:$base --hosts "$dir/hosts.json"
start system-fleet bin/cicada-standin servers "${fleet[@]}" --base-port $((base + 300)) --admin 127.0.0.1:$((base + 299))
start bare-fleet bin/cicada-standin servers "${fleet[@]}" --base-port $((base + 400)) --admin 127.0.0.1:$((base + 399)) --unchecked
start bare bin/cicada-standin passthrough "${fleet[@]}" --base-port $((base + 400)) --listen 127.0.0.1:$((base + 50))
start_hosts a 3 $base
wait_store 127.0.0.1:$base
{
  service_record split true '["a"]' unavailability 1000
  bin/cicada-standin records "${fleet[@]}" --base-port $((base + 300))
} | bin/cicadactl --store 127.0.0.1:$base apply - >/dev/null
sleep 4

experiment() { # NAME ENTRIES FLEET RATE
  printf '[run]\nduration = %ss\noutput = %s/%s\n[system]\nentries = %s\nfleets = 127.0.0.1:%s\nstore = 127.0.0.1:%s\n[stream.split]\nservice = split\nrate = %s\nwrites = 0\nzipf = %s\ndeadline = 1s\nkeys = 5000\n%s\n' \
    "$seconds" "$dir" "$1" "$2" "$3" "$base" "$4" "$zipf" "${EXTRA:-}" >"$dir/$1.ini"
  echo "== $1, $4 requests a second"
  bin/cicada-load --quiet "$dir/$1.ini" || true
}
millis=${work%ms}
capacity=$((servers * slots * 1000 / millis))
for rate in ${RATES:-$((capacity / 2)) $((capacity * 2))}; do
  experiment "bare-$rate" "127.0.0.1:$((base + 50))/127.0.0.1:$((base + 50))" $((base + 399)) "$rate"
  experiment "system-$rate" "$entries" $((base + 299)) "$rate"
done
for pid in "${pids[@]}"; do
  awk -v p="$pid" '{printf "%s cpu %.1f s\n", $2, ($14+$15)/100}' /proc/"$pid"/stat
done
