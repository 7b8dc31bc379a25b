# Shared by the scripts that start a system on loopback. Call begin first.

pids=()
declare -A pid_of

# start NAME COMMAND...: runs in the background, logs to $dir/NAME.log
start() {
  local name=$1
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  pids+=($!)
  pid_of[$name]=$!
}

# stop NAME: stops gracefully and waits
stop() {
  kill -TERM "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2>/dev/null || true
}

stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}

# each_host DOMAINS HOSTS_PER_DOMAIN BASE FUNCTION: calls FUNCTION NAME DOMAIN PORT
each_host() {
  local index=0 domain n
  for domain in $1; do
    for n in $(seq 1 "$2"); do
      "$4" "$domain-$n" "$domain" $(($3 + 100 + index * 5))
      index=$((index + 1))
    done
  done
}

# hosts_json DOMAINS HOSTS_PER_DOMAIN BASE [GONE]: the platform's host list
hosts_json() {
  local gone=${4:-} separator=""
  one_host() {
    [ "$1" = "$gone" ] && return
    printf '%s{"name":"%s","domain":"%s","link":"127.0.0.1:%d","routerLink":"127.0.0.1:%d"}' \
      "$separator" "$1" "$2" $(($3 + 3)) $(($3 + 1))
    separator=,
  }
  printf '['
  each_host "$1" "$2" "$3" one_host
  printf ']\n'
}

# start_hosts DOMAINS HOSTS_PER_DOMAIN BASE: writes settings, starts both
# daemons of each host, and sets entries to what cicada-load wants
start_hosts() {
  local store=$3
  entries=""
  declare -A links=()
  note_link() { links[$2]+="${links[$2]:+, }127.0.0.1:$(($3 + 3))"; }
  each_host "$1" "$2" "$3" note_link
  start_one() {
    write_host "$1" "$2" "$3" "$store" "${links[$2]}"
    start_controller "$1"
    start_router "$1"
    entries+="${entries:+, }127.0.0.1:$3/127.0.0.1:$(($3 + 2))"
  }
  each_host "$1" "$2" "$3" start_one
}

# write_host NAME DOMAIN PORT STORE CONTROLLERS
write_host() {
  printf '[host]\nname = %s\ndomain = %s\n\n[listen]\nlink = 127.0.0.1:%d\nadmin = 127.0.0.1:%d\n\n[platform]\nstore = 127.0.0.1:%d\npeers = %s\n' \
    "$1" "$2" $(($3 + 3)) $(($3 + 4)) "$4" "$5" >"$dir/$1-controller.ini"
  printf '[host]\nname = %s\ndomain = %s\n\n[listen]\ncallers = 127.0.0.1:%d\nlink = 127.0.0.1:%d\nadmin = 127.0.0.1:%d\n\n[control]\ncontrollers = %s\n' \
    "$1" "$2" "$3" $(($3 + 1)) $(($3 + 2)) "$5" >"$dir/$1-router.ini"
}

start_controller() { start "$1-controller" bin/cicada-controller --settings "$dir/$1-controller.ini"; }
start_router() { start "$1-router" bin/cicada-router --settings "$dir/$1-router.ini"; }

# wait_store ADDRESS: until the platform's stand-in answers
wait_store() {
  for _ in $(seq 50); do
    bin/cicadactl --store "$1" list >/dev/null 2>&1 && return
    sleep 0.1
  done
}

# service_record NAME KEYED DOMAINS_JSON WEIGH [DEADLINE_MILLIS]
service_record() {
  printf '{"kind":"service","name":"%s","schema":"v2","spec":{"keyed":%s,"domains":%s,"weigh":"%s","deadlineMillis":%d}}\n' \
    "$1" "$2" "$3" "$4" "${5:-3000}"
}

# begin NAME: an empty folder $dir for settings and logs, and built programs
begin() {
  dir=$(pwd)/run/$1
  rm -rf "$dir"
  mkdir -p "$dir"
  go build -o bin/ ./cmd/...
  trap stop_all EXIT
}

# start_site DOMAINS SERVERS BASE: the platform, 3 hosts for each domain, and a
# fleet of the keyed service split that is dealt out to them, all settled
start_site() {
  local list=${1// /,}
  local fleet=(--service split --domains "$list" --count "$2" --slots 4 --connections 130 --work 2ms --base-port $(($3 + 300)))
  hosts_json "$1" 3 "$3" >"$dir/hosts.json"
  start platform bin/cicada-standin platform --listen "127.0.0.1:$3" --hosts "$dir/hosts.json"
  start fleet bin/cicada-standin servers "${fleet[@]}" --admin 127.0.0.1:$(($3 + 299))
  start_hosts "$1" 3 "$3"
  wait_store "127.0.0.1:$3"
  {
    service_record split true "[\"${list//,/\",\"}\"]" unavailability
    bin/cicada-standin records "${fleet[@]}"
  } | bin/cicadactl --store "127.0.0.1:$3" apply - >/dev/null
  sleep 4
}

# site_experiment SECONDS RATE KEYS BASE: an experiment's settings but for faults
site_experiment() {
  printf '[run]\nduration = %ss\noutput = %s/results\n[system]\nentries = %s\nfleets = 127.0.0.1:%s\nstore = 127.0.0.1:%s\n' \
    "$1" "$dir" "$entries" $(($4 + 299)) "$4"
  printf '[stream.split]\nservice = split\nrate = %s\nwrites = 0.5\nkeys = %s\n' "$2" "$3"
}
