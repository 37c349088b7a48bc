#!/usr/bin/env bash
# Plays the users' deployments on their bench and prints a line for each.
# Not part of CI, which has no bench.
# Usage: FLEETBENCH=PROGRAM regression.sh SITES_DIR [--full] [--oldest] [--why TEXT]
#   SITES_DIR  folder with sites/, grown/, further/, further-grown/ and large/
#   --full     all standard days instead of the light ones
#   --oldest   also the deployments that these have replaced
set -euo pipefail
usage() { sed -n '2,7s/^# \{0,1\}//p' "$0" >&2; exit 2; }
[ -n "${FLEETBENCH:-}" ] && [ $# -ge 1 ] || usage
sites_dir=$1
shift
quick=--quick why="regression run"
sites=(further/himal-bumpnet further-grown/himal-bumpnet-grown large/ingoma-kigali-large
  grown/ingoma-kigali-grown grown/fleece-ops-grown)
while [ $# -gt 0 ]; do
  case $1 in
    --full) quick= ;;
    --oldest) sites+=(sites/ingoma-kigali sites/fleece-ops) ;;
    --why) why=${2:?--why takes a text}; shift ;;
    *) usage ;;
  esac
  shift
done
# Half of the processors, at least one: more would slow the days that are played.
jobs=$(($(nproc) / 2))
[ "$jobs" -ge 1 ] || jobs=1
failed=0
for site in "${sites[@]}"; do
  output=$("$FLEETBENCH" score "$sites_dir/$site.toml" $quick --jobs "$jobs" --why "$why") || failed=1
  gate=$(grep -oE 'GATE (passed|failed)' <<<"$output" || echo 'GATE unknown')
  [ "$gate" = 'GATE passed' ] || failed=1
  # The fourth field of a day's line is its worth.
  mean=$(awk '/^(trouble|scale)-/ { sum += $4; days++ }
    END { if (days) printf "%.3f over %d days with trouble", sum / days, days }' <<<"$output")
  printf '%-40s %-12s mean worth %s\n' "$site" "$gate" "${mean:-unknown}"
done
exit $failed
