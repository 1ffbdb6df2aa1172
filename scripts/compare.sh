#!/usr/bin/env bash
# Usage: scripts/compare.sh [OUTPUT FOLDER].  Runs the policies in turn, interleaved over seeds, each on a fresh
# fleet with the same stand-ins and the same schedule; prints ratios and draws attainment over offered load.
# LOADS, SEEDS, POLICIES, SETTINGS and LENGTH_S can be set in the environment.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=${BUILD:-build}
[ -x "$bin/hawthornnotch-router" ] || scripts/build.sh "$bin" || exit 1
out=${1:-results}
mkdir -p "$out"
work=$(mktemp -d)
source scripts/processes.sh
trap 'stop_all; rm -rf "$work"' EXIT

policies=${POLICIES:-tiered round_robin least_outstanding}
seeds=${SEEDS:-1 2}
loads=${LOADS:-0.8 2.0}
length=${LENGTH_S:-30}
settings=${SETTINGS:-poledica poledica-with-faults roundabout roundabout-with-faults}

code=0
for setting in $settings; do
  for load in $loads; do
    for seed in $seeds; do
      for policy in $policies; do
        router_extra=".policy.kind = \"$policy\" | .log.level = \"warning\" | .stop.balancer_notice_ms = 0"
        result=$out/$setting-$load-$seed-$policy.json
        echo "$(date +%T) $setting, load $load, seed $seed, $policy"
        start_fleet >"$work/start.txt" 2>&1 || { cat "$work/start.txt"; exit 1; }
        "$bin/hawthornnotch-load" --settings "$samples/05-load/$setting.json" --label "$policy" \
          --seed "$seed" --burst-load "$load" --length-s "$length" --output "$result" --quiet \
          >"${result%.json}.txt" || code=1
        stop_all
        pids=()
      done
    done
    echo "== $setting at $load times capacity in the burst"
    files=()
    for policy in $policies; do files+=("$out/$setting-$load"-*-"$policy.json"); done
    "$bin/hawthornnotch-load" --compare "${files[@]}"
  done
  "$bin/hawthornnotch-load" --plot "$out/$setting.svg" "$out/$setting-"[0-9]*.json
done
exit $code
