#!/usr/bin/env bash
# Usage: scripts/demo.sh.  Installs, builds, runs the fleet of samples/02-two-routers on loopback ports, sends real
# requests, prints a table of what happened and stops everything.  Exits 0 only if all held.
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh || exit 1
scripts/build.sh "${BUILD:-build}" || exit 1
bin=${BUILD:-build}
work=$(mktemp -d)
source scripts/processes.sh
trap 'stop_all; rm -rf "$work"' EXIT

show_logs() { for log in "$work"/*.log; do echo "--- $log"; tail -5 "$log"; done; }

echo "starting: platform, two routers with agents, four engines, one plain service"
start_fleet || { show_logs; exit 1; }

chat='{"model":"forecast-7b","messages":[{"role":"user","content":"Is the road over Sljeme icy?"}]}'
streamed='{"model":"forecast-7b","stream":true,"messages":[{"role":"user","content":"Bulletin for the A1"}]}'
order='{"road":"D8","crew":3}'

check "models that router 1 lists" '["forecast-7b"]' \
  "$(curl -s -m 5 "http://${routers[0]}/v1/models" -H 'x-hawthornnotch-workspace: poledica-dispatch' | jq -c '[.data[].id]')"

answer=$(call "${routers[0]}" duty-answer /v1/chat/completions -d "$chat" -D "$work/head")
check "duty-answer, whole, through router 1: status" 200 "$(tail -1 <<<"$answer")"
check "  finish reason" stop "$(head -1 <<<"$answer" | jq -r '.choices[0].finish_reason')"
request_id=$(grep -i '^x-request-id:' "$work/head" | tr -d '\r' | cut -d' ' -f2)
answer=$(call "${routers[1]}" bulletin /v1/chat/completions -d "$streamed")
check "bulletin, streamed, through router 2: last event" "data: [DONE]" "$(grep '^data' <<<"$answer" | tail -1)"
answer=$(call "${routers[0]}" station-reading /services/stations/readings)
check "station reading from the plain service: status" 200 "$(tail -1 <<<"$answer")"
first=$(call "${routers[0]}" gritting-order /services/gritting/orders -d "$order" -H 'Idempotency-Key: demo-1')
second=$(call "${routers[1]}" gritting-order /services/gritting/orders -d "$order" -H 'Idempotency-Key: demo-1')
check "gritting order through router 1: status" 200 "$(tail -1 <<<"$first")"
check "the same order through router 2: same answer" "$(head -1 <<<"$first")" "$(head -1 <<<"$second")"
check "  runs of the order at the service" 1 "$(counters "$service" | jq -r '.runs_by_key | to_entries | map(select(.key | endswith("demo-1"))) | map(.value) | add // 0')"
answer=$(call "${routers[0]}" gritting-order /services/gritting/orders -d "$order")
check "gritting order without a key: status, outcome" "400 not_run" \
  "$(tail -1 <<<"$answer") $(head -1 <<<"$answer" | jq -r '.error.outcome')"
check "explain knows the first request" true \
  "$(curl -s -m 5 "http://${operators[0]}/explain/$request_id" | jq '.steps | length > 0')"

echo "sending a load of several classes; engine-4 is announced as leaving meanwhile"
"$bin/hawthornnotch-load" --settings "$samples/05-load/demo.json" --label demo --output "$work/load.json" \
  >"$work/load.txt" 2>/dev/null &
load=$!
sleep 4
check "requests to engine-4 before it leaves: some" true "$(counters "$(engine 4)" | jq '.requests > 0')"
check "hawthornnotchctl vm leave engine-4: exit code" 0 "$(ctl vm leave engine-4 >/dev/null 2>&1; echo $?)"
sleep 3
before=$(counters "$(engine 4)" | jq .requests)
wait "$load"
check "load: every answer whole, right and one's own; no order ran twice" 0 $?
check "load: requests neither answered nor told not_run" 0 \
  "$(($(broken_off load) + $(jq '[.classes[].not_sent] | add' "$work/load.json")))"
after=$(counters "$(engine 4)" | jq .requests)
check "requests to engine-4 from 3 s after it was announced as leaving" 0 "$((after - before))"
check "metrics count requests" true \
  "$(curl -s -m 5 "http://${operators[0]}/metrics" | grep -q '^hawthornnotch_requests_total' && echo true)"
check "dump is JSON" object "$(curl -s -m 5 "http://${operators[0]}/dump" | jq -r type)"

for name in router-1 router-2 agent-1 agent-2; do
  stop "$name" 30; check "graceful stop of $name: exit code" 0 $?
done
cat "$work/load.txt"
echo
print_table
[ "$violations" -eq 0 ] || show_logs
exit $((violations > 0))
