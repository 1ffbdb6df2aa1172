#!/usr/bin/env bash
# Usage: bench/overhead.sh [rate...].  Starts the demo's fleet and prints, for each rate, the time
# that the router adds over calling the engines directly in the same run, milliseconds.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=${BUILD:-build}
work=$(mktemp -d)
source scripts/processes.sh
trap 'stop_all; rm -rf "$work"' EXIT
token_ms=(0 1 1 1 1)
first_token_ms=(0 5 5 5 5)
router_extra='.threads = 2'
vms_extra='map(if .slots then .slots = 512 else . end)'
start_engine() {
  start "engine-$1" "$bin/standin-engine" --listen "$(engine "$1")" --models forecast-7b,contracts-13b \
    --first-token-ms "${first_token_ms[$1]}" --token-ms "${token_ms[$1]}" --slots 512 --longest 64
}
start_fleet >/dev/null || exit 1
engines="$(engine 1),$(engine 2),$(engine 3),$(engine 4)"
printf '%8s %8s %12s %12s %12s %12s %10s\n' rate answers "first p50" "first p99" "token p50" "token p99" failures
for rate in "${@:-44 500 2000}"; do for one in $rate; do
  "$bin/overhead" --router "${routers[0]}" --engines "$engines" --rate "$one" --seconds 5 >"$work/$one.json" || exit 1
  jq -r '[.rate, .routed.requests,
          (.routed.first_token_ms.p50 - .direct.first_token_ms.p50),
          (.routed.first_token_ms.p99 - .direct.first_token_ms.p99),
          ((.routed.whole_ms.p50 - .direct.whole_ms.p50) / 16),
          ((.routed.whole_ms.p99 - .direct.whole_ms.p99) / 16),
          (.routed.failures + .direct.failures)] | @tsv' "$work/$one.json" |
    awk '{printf "%8d %8d %12.2f %12.2f %12.3f %12.3f %10d\n", $1, $2, $3, $4, $5, $6, $7}'
done; done
