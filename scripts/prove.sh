#!/usr/bin/env bash
# Usage: [KEEP_LOGS=FOLDER] scripts/prove.sh.  Starts the programs on loopback ports, lets processes and calls fail, counts at the
# stand-ins and compares with what callers were told.  Exits non-zero on any violation.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=${BUILD:-build}
[ -x "$bin/hawthornnotch-router" ] || scripts/build.sh "$bin" || exit 1
work=$(mktemp -d)
source scripts/processes.sh
trap 'stop_all; rm -rf "$work"' EXIT
mkdir "$work/told"

step() { echo "$(date +%T) $*"; }

# order ROUTER KEY TRY: sends one gritting order; keeps what the caller was told in a file.
order() {
  local answer
  answer=$(call "$1" gritting-order /services/gritting/orders -d '{"road":"D8"}' -H "Idempotency-Key: $2")
  local status outcome
  status=$(tail -1 <<<"$answer")
  outcome=$(head -1 <<<"$answer" | jq -r '.error.outcome // "answer"' 2>/dev/null || echo none)
  if [ "$status" = 000 ]; then outcome=none; fi
  echo "$status $outcome" >"$work/told/$2.$3"
}

# verify_orders PREFIX WHAT: no key ran twice, none that was only told not_run ran, each answer has a run.
verify_orders() {
  local prefix=$1 what=$2 runs key count twice=0 false_not_run=0 answered_without_run=0 keys=0
  runs=$(counters "$service") || { check "$what: the service's counters" readable unreadable; return; }
  for key in $(ls "$work/told" | sed -n "s/^\($prefix-[0-9]*\)\..*/\1/p" | sort -u); do
    keys=$((keys + 1))
    count=$(jq --arg key "$key" '.runs_by_key[$key] // 0' <<<"$runs")
    [ "$count" -gt 1 ] && twice=$((twice + 1))
    if ! grep -qv ' not_run$' "$work/told/$key".* && [ "$count" -gt 0 ]; then
      false_not_run=$((false_not_run + 1))
    fi
    if grep -q '^200 answer' "$work/told/$key".* && [ "$count" -eq 0 ]; then
      answered_without_run=$((answered_without_run + 1))
    fi
  done
  echo "  told: $(cat "$work/told/$prefix"-* | sort | uniq -c | sed 's/^ *//' | paste -sd, | sed 's/,/, /g')"
  check "$what: keys that ran twice, of $keys" 0 "$twice"
  check "$what: keys that ran though told not_run" 0 "$false_not_run"
  check "$what: answers without a run" 0 "$answered_without_run"
}

# expect_alive: every process that was started and not stopped is still there.
expect_alive() {
  local name missing=""
  for name in "${!pids[@]}"; do kill -0 "${pids[$name]}" 2>/dev/null || missing="$missing$name "; done
  check "processes that ended by themselves after: $1" "" "$missing"
}

wait_for() { local pid; for pid in "$@"; do wait "$pid" 2>/dev/null; done; }

ready() { answers "http://${operators[$(($1 - 1))]}/readyz" && knows_models $(($1 - 1)); }

restart_router() {
  start_router "$1"
  wait_until 20 "router $1 after its restart" ready "$1"
}

# Orders that are being claimed while their router is killed, then sent again through the other one.
kill_between_claim_and_send() {
  step "kill -9 of a router between claim and send"
  local jobs=() number
  fault "$platform" '{"kind":"delay","value":700,"path":"/v3/kv/txn"}'
  for number in $(seq 20); do order "${routers[0]}" "killed-$number" 1 & jobs+=($!); sleep 0.06; done
  kill_now router-1
  wait_for "${jobs[@]}"
  fault "$platform" '{"kind":"clear"}'
  jobs=()
  for number in $(seq 20); do order "${routers[1]}" "killed-$number" 2 & jobs+=($!); done
  wait_for "${jobs[@]}"
  restart_router 1 || violations=$((violations + 1))
  for number in $(seq 20); do order "${routers[0]}" "killed-$number" 3; done
  verify_orders killed "router killed"
}

# A router stopped for longer than any lease while it claims, its orders sent again elsewhere.
pause_longer_than_leases() {
  step "SIGSTOP of a router and its agent for 15 s, orders sent again meanwhile"
  local jobs=() again=() number
  fault "$platform" '{"kind":"delay","value":400,"path":"/v3/kv/txn"}'
  for number in $(seq 10); do order "${routers[0]}" "paused-$number" 1 & jobs+=($!); done
  sleep 0.2
  send_signal router-1 STOP; send_signal agent-1 STOP
  fault "$platform" '{"kind":"clear"}'
  for number in $(seq 10); do order "${routers[1]}" "paused-$number" 2 & again+=($!); done
  wait_for "${again[@]}"
  sleep 15
  send_signal router-1 CONT; send_signal agent-1 CONT
  wait_for "${jobs[@]}"
  for number in $(seq 10); do order "${routers[1]}" "paused-$number" 3; done
  verify_orders paused "router paused"
}

platform_down() {
  step "platform down for 10 s"
  local number answer begun
  fault "$platform" '{"kind":"down"}'
  sleep 1
  begun=$SECONDS
  for number in $(seq 5); do order "${routers[$((number % 2))]}" "down-$number" 1; done
  check "platform down: orders told not_run" 5 "$(cat "$work/told/down-"* | grep -c ' not_run$')"
  check "platform down: five orders answered within 10 s" 1 $((SECONDS - begun <= 10))
  answer=$(call "${routers[0]}" station-reading /services/stations/readings)
  check "platform down: an idempotent call" 200 "$(tail -1 <<<"$answer")"
  answer=$(call "${routers[1]}" bulletin /v1/chat/completions \
    -d '{"model":"forecast-7b","stream":true,"messages":[{"role":"user","content":"A6"}]}')
  check "platform down: a streamed bulletin's last event" "data: [DONE]" "$(grep '^data' <<<"$answer" | tail -1)"
  sleep 5
  fault "$platform" '{"kind":"clear"}'
  sleep 3
  order "${routers[0]}" down-6 1
  check "platform back: an order" "200 answer" "$(cat "$work/told/down-6.1")"
  verify_orders down "platform down"
}

platform_loses_answers() {
  step "platform slow and losing answers"
  local jobs=() number
  fault "$platform" '{"kind":"lose_answer","count":6,"path":"/v3/kv/txn"}'
  fault "$platform" '{"kind":"delay","value":150}'
  for number in $(seq 30); do
    order "${routers[$((number % 2))]}" "lost-$number" 1 & jobs+=($!)
    order "${routers[$(((number + 1) % 2))]}" "lost-$number" 2 & jobs+=($!)
    sleep 0.05
  done
  wait_for "${jobs[@]}"
  fault "$platform" '{"kind":"clear"}'
  verify_orders lost "claims' answers lost"
}

service_loses_answers() {
  step "service losing answers after the effect"
  local number
  fault "$service" '{"kind":"lose_answer","count":10,"path":"/orders"}'
  for number in $(seq 10); do order "${routers[0]}" "effect-$number" 1; done
  fault "$service" '{"kind":"clear"}'
  for number in $(seq 10); do order "${routers[1]}" "effect-$number" 2; done
  check "service's answers lost: first tries told unknown" 10 "$(cat "$work/told/effect-"*.1 | grep -c ' unknown$')"
  verify_orders effect "service's answers lost"
}

# run_load NAME: a load of several classes; result in $work/NAME.json.
run_load() {
  "$bin/hawthornnotch-load" --settings "$samples/05-load/demo.json" --label "$1" --length-s 12 \
    --output "$work/$1.json" --quiet >"$work/$1.txt" 2>&1
}
engine_killed_mid_stream() {
  step "kill -9 of an engine under load"
  run_load engine-killed & local load=$!
  sleep 5
  kill_now engine-1
  sleep 2
  start_engine 1
  wait "$load"
  check "engine killed: answers wrong, orders run twice" 0 $?
  check "engine killed: answers broken off" 0 "$(broken_off engine-killed)"
}

stop_under_load() {
  step "SIGTERM of a router under load"
  run_load stopped & local load=$!
  sleep 5
  stop router-1 60
  check "SIGTERM under load: exit code of the router" 0 $?
  wait "$load"
  check "SIGTERM under load: answers wrong, orders run twice" 0 $?
  check "SIGTERM under load: answers broken off" 0 "$(broken_off stopped)"
  restart_router 1 || violations=$((violations + 1))
}

# race NAME: edits one workspace again and again from the revision it last saw.
race() {
  local number base file=$work/race-$1.json
  for number in $(seq 10); do
    base=$(ctl --output json config show poledica-dispatch 2>/dev/null | jq -r '.revision // empty')
    jq --argjson rate "$((1000 + RANDOM % 1000))" '.parameters.requests_per_second = $rate' \
      "$samples/03-poledica/workspaces/poledica-dispatch.json" >"$file"
    ctl config set "$file" --base-revision "$base" >/dev/null 2>&1
    echo $? >>"$work/race.codes"
  done
}

revision_at() {
  curl -sf -m 2 "http://${operators[$1]}/dump" |
    jq '[.. | objects | .workspaces? | objects | ."poledica-dispatch"] | first'
}
in_force_everywhere() { [ "$(revision_at 0)" = "$1" ] && [ "$(revision_at 1)" = "$1" ]; }

operators_racing() {
  step "two operators racing on one workspace, an agent stopped meanwhile"
  local before after accepted one two
  before=$(ctl --output json config show poledica-dispatch | jq .revision)
  send_signal agent-2 STOP
  race one & one=$!
  race two & two=$!
  wait_for "$one" "$two"
  send_signal agent-2 CONT
  after=$(ctl --output json config show poledica-dispatch | jq .revision)
  accepted=$(grep -c '^0$' "$work/race.codes")
  check "operators racing: revisions applied as often as accepted" "$accepted" $((after - before))
  check "operators racing: ends other than accepted or conflict" 0 "$(grep -cv '^[03]$' "$work/race.codes")"
  wait_until 15 "revision $after everywhere" in_force_everywhere "$after"
  check "operators racing: last revision in force at both routers" 0 $?
  send_signal agent-1 STOP; send_signal agent-2 STOP
  stop router-2 30
  start_router 2
  sleep 2
  send_signal agent-1 CONT; send_signal agent-2 CONT
  wait_until 20 "router 2 after its restart" ready 2
  wait_until 15 "revision $after after a restart" in_force_everywhere "$after"
  check "operators racing: no revert after a router's restart" 0 $?
}

router_extra='.stop.longest_drain_ms = 40000'
step "starting"
start_fleet || exit 1
kill_between_claim_and_send; expect_alive "kill between claim and send"
pause_longer_than_leases; expect_alive "pause longer than leases"
platform_down; expect_alive "platform down"
platform_loses_answers; expect_alive "platform loses answers"
service_loses_answers; expect_alive "service loses answers"
engine_killed_mid_stream; expect_alive "engine killed mid stream"
operators_racing; expect_alive "operators racing"
stop_under_load; expect_alive "stop under load"
for name in router-1 router-2 agent-1 agent-2; do
  stop "$name" 60; check "graceful stop of $name: exit code" 0 $?
done
echo
print_table
[ "$violations" -eq 0 ] || [ -z "${KEEP_LOGS:-}" ] || cp -r "$work" "$KEEP_LOGS"
echo "not run here: connections cut between agents only (needs a network that can be cut)"
echo "$violations violations"
exit $((violations > 0))
