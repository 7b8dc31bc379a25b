#!/usr/bin/env bash
# Loses all entry hosts of one of three failure domains under load, declares the
# domain lost 3 s later, and reports what callers saw. The lost domain's backend
# servers stay up, as if only cut off, so that the oracle would notice if they
# still ran requests for keys that have moved.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
begin domain-lost

base=${BASE:-27000}
domains="a b c"
start_site "$domains" 9 $base
site_experiment 20 600 3000 $base >"$dir/lost.ini"
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
