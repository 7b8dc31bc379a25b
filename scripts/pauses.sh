#!/usr/bin/env bash
# Pauses controllers, routers and backend servers of one failure domain again and
# again under load, each for longer than its leases run, and lets the oracle look
# for broken promises. PAUSES sets the number (default 12), SEED their order.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
begin pauses

base=${BASE:-29000}
pauses=${PAUSES:-12}
RANDOM=${SEED:-1}
start_site a 6 $base
seconds=$((pauses * 3 + 6))
{
  site_experiment "$seconds" 400 1000 $base
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
