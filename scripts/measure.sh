#!/usr/bin/env bash
# Measures the daemon on loopback: added latency, requests per second, memory
# with waiting and idle callers, and the control-plane load of idle daemons at
# three fleet sizes. Prints the results only; no limits are checked.
# Usage: measure.sh BUILD_DIR
set -euo pipefail

build=$(cd "$1" && pwd)
work=$(mktemp -d)
daemon=$build/packages/daemon/sardinerilld
ctl=$build/packages/ctl/sardinerillctl
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

wait_for() {
  local deadline=$(($(date +%s) + $1)); shift
  until "$@" >/dev/null 2>&1; do
    if [ "$(date +%s)" -ge "$deadline" ]; then echo "timed out waiting for: $*" >&2; return 1; fi
    sleep 0.1
  done
}

cpu_ms() { awk '{print ($14 + $15) * 10}' "/proc/$1/stat"; }
rss_mb() { awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/$1/status"; }
peer_bytes() {
  curl -s "127.0.0.1:$1/metrics" | awk '/peer_bytes/ {sum += $2} END {print sum + 0}'
}
platform_stats() { curl -s -d '{}' 127.0.0.1:18300/control/stats; }

# start_daemons COUNT FLEET_FILE
start_daemons() {
  echo measure-peer-secret > "$work/secret"
  echo sk.bootstrap.measure > "$work/bootstrap"
  export SARDINERILL_KEY=sk.bootstrap.measure
  "$build/standins/platform_standin" --port 18300 --vms "$work/vms" &
  pids+=($!)
  wait_for 10 bash -c "echo > /dev/tcp/127.0.0.1/18300"
  daemons=()
  for n in $(seq "$1"); do
    cat > "$work/d$n.yaml" <<EOF
daemon: {vm: entry-$n, zone: zone-$((n % 6))}
callers: {address: 127.0.0.1, port: $((18310 + n)), maxConnections: 3000}
operators:
  {address: 127.0.0.1, port: $((18410 + n)), bootstrapKeyFile: $work/bootstrap}
peers: {address: 127.0.0.1, port: $((18510 + n)), secretFile: $work/secret}
platform: {address: 127.0.0.1, port: 18300}
queue: {limit: 5000}
EOF
    "$daemon" --config "$work/d$n.yaml" > "$work/d$n.log" 2>&1 &
    daemons+=($!)
    pids+=($!)
  done
  wait_for 20 "$ctl" -s 127.0.0.1:18411 status
  "$ctl" -s 127.0.0.1:18411 apply -f "$2" > /dev/null || true
}

# make_fleet VMS POOLS TEAMS FILE: upstream VMs listen on loopback, from port
# 18201 upwards
make_fleet() {
  awk -v vms="$1" -v pools="$2" -v teams="$3" 'BEGIN {
    print "rackMaxUnavailable: 2\nzones:"
    for (i = 0; i < 6; i++) print "  zone-" i ": {maxUnavailable: 20}"
    print "pools:"
    for (i = 0; i < pools; i++) print "  pool-" i ": {maxUnavailable: 2}"
    print "classes:"
    for (i = 0; i < pools; i++) print "  class-" i ": {pool: pool-" i \
      ", targetMs: 60000, maxRunMs: 60000, open: true}"
    print "teams:"
    for (i = 0; i < teams; i++) print "  team-" i ": {share: 1, ceiling: 40}"
    print "vms:"
    for (i = 0; i < vms; i++) print "  vm-" i ": {pool: pool-" i % pools \
      ", zone: zone-" i % 6 ", rack: rack-" int(i / 4) \
      ", address: 127.0.0.1, port: " 18201 + i "}"
  }' > "$4"
  : > "$work/vms"
  for i in $(seq 0 $(($1 - 1))); do
    echo "vm-$i 127.0.0.1 0" >> "$work/vms"
  done
  for n in $(seq 48); do echo "entry-$n 127.0.0.1 0" >> "$work/vms"; done
}

scenario() { # scenario ENTRY PATH_PREFIX RATE THREADS RUN_MS SECONDS
  cat > "$work/scenario.json" <<EOF
{"entries": ["$1"], "upstreams": ["127.0.0.1:18201"], "pathPrefix": "$2",
 "seconds": $6, "threads": $4, "targetsMs": {"class-0": 1000},
 "streams": [{"team": "", "key": "", "class": "class-0", "rate": $3,
              "runMs": $5, "idempotent": true}]}
EOF
  "$build/standins/load_tool" --file "$work/scenario.json" |
    awk '/^  sent|^  answered/ {n = n " " $1 " " $2} /class-0/ {print n, "p50", $3, "ms p99", $4, "ms"}'
}

echo "== added latency and requests per second (one daemon, one upstream of 8 slots)"
make_fleet 1 1 1 "$work/fleet.yaml"
"$build/standins/upstream_standin" --port 18201 --slots 8 &
pids+=($!)
start_daemons 1 "$work/fleet.yaml"
sleep 1
for round in 1 2 3; do
  echo "half load, direct:  $(scenario 127.0.0.1:18201 /run/ 2000 4 0 4)"
  echo "half load, daemon:  $(scenario 127.0.0.1:18311 /v1/work/ 2000 4 0 4)"
done
echo "full load, direct:  $(scenario 127.0.0.1:18201 /run/ 1000000 8 0 4)"
echo "full load, daemon:  $(scenario 127.0.0.1:18311 /v1/work/ 1000000 8 0 4)"

echo "== memory of one daemon"
echo "idle: $(rss_mb "${daemons[0]}") MB"
python3 - <<'EOF' &
import socket, time
connections = [socket.create_connection(("127.0.0.1", 18311)) for _ in range(1000)]
time.sleep(25)
EOF
pids+=($!)
sleep 2
scenario 127.0.0.1:18311 /v1/work/ 1000 1000 2500 2 > "$work/waiting.txt" &
sleep 6
echo "1,000 idle and 1,000 waiting callers: $(rss_mb "${daemons[0]}") MB"
stop_all

echo "== control-plane load of idle daemons, 20 s each"
printf '%8s %6s %6s %6s | %12s %10s %14s %14s %12s\n' daemons VMs pools teams \
  "CPU % of core" "memory MB" "peer bytes/s" "table bytes/s" "table calls/s"
while read -r count vms pools teams; do
  make_fleet "$vms" "$pools" "$teams" "$work/fleet.yaml"
  start_daemons "$count" "$work/fleet.yaml"
  sleep 12
  before=$(platform_stats); cpu=0; peers=0; rss=0
  for n in $(seq "$count"); do
    cpu=$((cpu - $(cpu_ms "${daemons[$((n - 1))]}")))
    peers=$((peers - $(peer_bytes $((18410 + n)))))
  done
  sleep 20
  after=$(platform_stats)
  for n in $(seq "$count"); do
    cpu=$((cpu + $(cpu_ms "${daemons[$((n - 1))]}")))
    peers=$((peers + $(peer_bytes $((18410 + n)))))
    rss=$(echo "$rss $(rss_mb "${daemons[$((n - 1))]}")" | awk '{print $1 + $2}')
  done
  echo "$count $vms $pools $teams $cpu $rss $peers $before $after" | awk '{
    match($8, /"bytes":[0-9]+/); b1 = substr($8, RSTART + 8, RLENGTH - 8)
    match($8, /"calls":[0-9]+/); c1 = substr($8, RSTART + 8, RLENGTH - 8)
    match($9, /"bytes":[0-9]+/); b2 = substr($9, RSTART + 8, RLENGTH - 8)
    match($9, /"calls":[0-9]+/); c2 = substr($9, RSTART + 8, RLENGTH - 8)
    printf "%8d %6d %6d %6d | %12.2f %10.1f %14.0f %14.0f %12.2f\n", $1, $2, $3,
      $4, $5 / 20 / 10 / $1, $6 / $1, $7 / 20 / $1, (b2 - b1) / 20 / $1,
      (c2 - c1) / 20 / $1 }'
  stop_all
done <<EOF
3 50 5 6
8 50 5 6
24 50 5 6
3 250 60 70
3 1000 225 280
48 1000 225 280
EOF
