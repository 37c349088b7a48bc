#!/usr/bin/env bash
# End-to-end demo on loopback: runs the platform stand-in, six upstream
# stand-ins, three daemons in two zones and the load tool, then checks the
# results against the guarantees of the service. KEEP_LOGS=1 keeps the logs.
# Usage: demo.sh BUILD_DIR
set -euo pipefail

build=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
daemon=$build/packages/daemon/sardinerilld
ctl=$build/packages/ctl/sardinerillctl
standins=$build/standins
platform_port=18000
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "${KEEP_LOGS:-}" ]; then echo "logs in $work"; else rm -rf "$work"; fi
}
trap cleanup EXIT

log_step() { printf '== %s\n' "$*"; }

wait_for() { # wait_for SECONDS COMMAND...
  local deadline=$(($(date +%s) + $1)); shift
  until "$@" >/dev/null 2>&1; do
    if [ "$(date +%s)" -ge "$deadline" ]; then echo "timed out waiting for: $*" >&2; return 1; fi
    sleep 0.1
  done
}

log_step "starting the platform stand-in and six upstream stand-ins"
echo demo-peer-secret > "$work/secret"
echo sk.bootstrap.demo > "$work/bootstrap"
for n in 1 2 3 4 5 6; do
  echo "w$n 127.0.0.1 $((18200 + n))" >> "$work/vms"
  "$standins/upstream_standin" --port $((18200 + n)) 2>"$work/w$n.log" &
  pids+=($!)
done
for n in 1 2 3; do echo "entry-$n 127.0.0.1 0" >> "$work/vms"; done
"$standins/platform_standin" --port $platform_port --vms "$work/vms" \
  --reboot-ms 400 2>"$work/platform.log" &
pids+=($!)
wait_for 10 bash -c "echo > /dev/tcp/127.0.0.1/$platform_port"

log_step "starting three daemons in two zones"
zones=(kgl-a kgl-a kgl-b)
daemons=()
for n in 1 2 3; do
  cat > "$work/entry-$n.yaml" <<EOF
daemon: {vm: entry-$n, zone: ${zones[$((n - 1))]}}
callers: {address: 127.0.0.1, port: $((18010 + n))}
operators:
  {address: 127.0.0.1, port: $((18020 + n)), bootstrapKeyFile: $work/bootstrap}
peers: {address: 127.0.0.1, port: $((18030 + n)), secretFile: $work/secret}
platform: {address: 127.0.0.1, port: $platform_port}
EOF
  "$daemon" --config "$work/entry-$n.yaml" > "$work/entry-$n.log" 2>&1 &
  daemons+=($!)
  pids+=($!)
done
ctl() { "$ctl" --server 127.0.0.1:18021 "$@"; }
export SARDINERILL_KEY=sk.bootstrap.demo
wait_for 20 ctl status
wait_for 20 bash -c "[ \$('$ctl' -s 127.0.0.1:18021 status -o json |
  grep -c '\"alive\": true') = 2 ]"

log_step "applying the fleet and creating keys"
ctl apply -f "$root/examples/ingoma/fleet-small.yaml" > "$work/apply.txt"
SARDINERILL_KEY=$(ctl key create --id ann)
for team in workshop gardens welders; do
  eval "key_$team=\$(ctl key create --team $team --id $team-1)"
done
ctl key withdraw --team welders --id welders-1

cat > "$work/scenario.json" <<EOF
{"entries": ["127.0.0.1:18011", "127.0.0.1:18012", "127.0.0.1:18013"],
 "upstreams": ["127.0.0.1:18201", "127.0.0.1:18202", "127.0.0.1:18203",
               "127.0.0.1:18204", "127.0.0.1:18205", "127.0.0.1:18206"],
 "seconds": 14, "threads": 16,
 "ceilings": {"workshop": 16, "gardens": 3},
 "targetsMs": {"pattern": 800, "stress-check": 1300, "quote": 1000,
               "opening-hours": 1000},
 "streams": [
  {"team": "workshop", "key": "$key_workshop", "class": "pattern",
   "rate": 60, "runMs": 60, "idempotent": true},
  {"team": "workshop", "key": "$key_workshop", "class": "quote",
   "rate": 40, "runMs": 40, "idempotent": false},
  {"team": "gardens", "key": "$key_gardens", "class": "stress-check",
   "rate": 40, "runMs": 150, "idempotent": true},
  {"team": "welders", "key": "$key_welders", "class": "pattern",
   "rate": 5, "runMs": 20, "idempotent": true},
  {"team": "", "key": "", "class": "opening-hours",
   "rate": 10, "runMs": 5, "idempotent": true}]}
EOF

log_step "submitting a job with a deadline"
job=$(curl -s -X POST -H "Authorization: Bearer $key_workshop" \
  -d "id=job-1 team=workshop run=200" http://127.0.0.1:18011/v1/jobs/nesting |
  grep -o '"jobId":"[^"]*"' | cut -d'"' -f4)
job_result() {
  curl -s -H "Authorization: Bearer $key_workshop" \
    "http://127.0.0.1:18011/v1/jobs/$job/result"
}

log_step "sending load for 14 s; a roll-out of pool bend starts after 1 s"
"$standins/load_tool" --file "$work/scenario.json" --killed 127.0.0.1:18013 \
  > "$work/report.txt" &
load_pid=$!
sleep 1
rollout_start=$(date +%s.%N)
ctl rollout start bend
rollout_done() {
  [ "$("$ctl" --server 127.0.0.1:18021 vm list -o json | tr -d ' \n' |
    grep -o '"generation":1,[^}]*"pool":"bend"[^}]*"state":"serving"' |
    wc -l)" = 3 ]
}
rollout_time="not finished"
if wait_for 60 rollout_done; then
  rollout_time=$(echo "$(date +%s.%N) $rollout_start" |
    awk '{printf "%.1f s", $1 - $2}')
fi
log_step "roll-out of three VMs: $rollout_time"

log_step "stopping entry-2 with SIGTERM, then killing entry-3"
kill -TERM "${daemons[1]}"
stop_code=0
wait "${daemons[1]}" || stop_code=$?
log_step "entry-2 stopped with exit code $stop_code"
kill -KILL "${daemons[2]}"

exit_code=0
wait $load_pid || exit_code=$?
log_step "results"
cat "$work/report.txt"
printf '  %-34s %s\n' "roll-out time" "$rollout_time"
printf '  %-34s %s\n' "result of the job" "$(job_result)"
if [ "$(job_result)" != "answer job-1" ]; then exit_code=1; fi
if [ "$stop_code" != 0 ] || [ "$rollout_time" = "not finished" ]; then
  exit_code=1
fi
if [ "$exit_code" = 0 ]; then log_step "all checks passed"; else log_step "CHECKS FAILED"; fi
exit "$exit_code"
