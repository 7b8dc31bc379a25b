#!/usr/bin/env bash
# The one daemon of a hosted platform, on three hosts with the stand-in of that
# platform on loopback: keys are assigned, the store goes away and returns, a
# host is lost and replaced, a backend server joins. Exits non-zero if a promise
# was broken, or if a host did not stop by itself.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
begin hosted

base=${BASE:-29000}
hosts=""
for i in 1 2 3; do
  port=$((base + 10 * i))
  hosts+="${hosts:+,}127.0.0.1:$port"
  printf '[host]\nname = host-%s\ndomain = a\n[listen]\ncallers = 127.0.0.1:%s\nready = 127.0.0.1:%s\npeers = 127.0.0.1:%s\nmetrics = 127.0.0.1:%s\n[store]\naddress = 127.0.0.1:%s\n[stop]\nleave-for = 500ms\nwithin = 4s\n' \
    $i $port $((port + 1)) $((port + 2)) $((port + 3)) $base >"$dir/host-$i.ini"
done
start site bin/cicada-standin hosted --listen 127.0.0.1:$base --base-port $((base + 100)) --hosts "$hosts"
site=${pid_of[site]}
sleep 0.3
for i in 1 2 3; do start host-$i bin/cicada-gateway --settings "$dir/host-$i.ini"; done
sleep 11
kill -KILL "${pid_of[host-2]}"
echo "== host-2 was killed, and is started again 2 s later"
sleep 2
start host-2 bin/cicada-gateway --settings "$dir/host-2.ini"
verdict=0
wait "$site" || verdict=1
cat "$dir/site.log"
for i in 1 2 3; do stop host-$i; done
for i in 1 2 3; do
  grep -q '"msg":"stopped"' "$dir/host-$i.log" || { echo "host-$i did not stop by itself"; verdict=1; }
done
exit $verdict
